package io.wagtailmux.engine.state;

import java.time.Duration;

/**
 * Limits that bind all instances together, from the settings.
 *
 * @param retryRatio the repeats for each request of a pool
 * @param retryWindow the span of time that repeats are counted over
 * @param retrySlack further repeats of a pool in each window
 * @param coldFactor by how much a cold endpoint's rate may be exceeded
 * @param coldSlack further requests a second at a cold endpoint
 * @param exposureShare the part of a pool's requests that a bad version may get
 * @author the wagtailmux developers
 */
public record SharedLimits(double retryRatio, Duration retryWindow, double retrySlack, double coldFactor,
		double coldSlack, double exposureShare) {

}
