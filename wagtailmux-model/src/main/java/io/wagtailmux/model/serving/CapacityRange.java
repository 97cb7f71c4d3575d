package io.wagtailmux.model.serving;

import java.time.Duration;

/**
 * How many endpoints may be ordered for a pool in each availability zone.
 *
 * @param minimum the smallest number
 * @param maximum the largest number
 * @param bootTime the time from an order until new endpoints serve
 * @author the wagtailmux developers
 */
public record CapacityRange(int minimum, int maximum, Duration bootTime) {

}
