package io.wagtailmux.decision.lease;

import java.time.Duration;

/**
 * A lease that an instance holds.
 *
 * @param version the version of its record, which is the fencing number
 * @param validUntil when it expires unless it is renewed, as elapsed time
 * @param heldSince since when it is held without a break, as elapsed time
 * @param firstHolder whether nobody held it before
 * @author the wagtailmux developers
 */
public record HeldSlot(long version, Duration validUntil, Duration heldSince, boolean firstHolder) {

}
