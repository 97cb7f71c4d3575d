package io.wagtailmux.engine.state;

import java.time.Duration;

/**
 * Limits that bind all instances together, from the settings.
 *
 * @param repeatRatio the repeats for each request of a pool
 * @param repeatWindow the span of time that repeats are counted over
 * @param repeatSlack further repeats of a pool in each window
 * @param coldFactor by how much a cold endpoint's rate may be exceeded
 * @param coldSlack further requests a second at a cold endpoint
 * @param exposureShare the part of a pool's requests that a bad version may get
 * @author the wagtailmux developers
 */
public record SharedLimits(double repeatRatio, Duration repeatWindow, double repeatSlack, double coldFactor,
		double coldSlack, double exposureShare) {

}
