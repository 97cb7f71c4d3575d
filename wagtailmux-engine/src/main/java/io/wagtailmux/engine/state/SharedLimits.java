package io.wagtailmux.engine.state;

import java.time.Duration;

/**
 * Limits from the settings that apply to all instances combined.
 *
 * @param retryRatio the number of retries allowed for each request of a pool
 * @param retryWindow the length of the sliding window in which retries are counted
 * @param retrySlack the number of additional retries of a pool in each window
 * @param coldFactor the factor by which the configured request rate of a cold endpoint is
 * multiplied
 * @param coldSlack the additional requests per second at a cold endpoint
 * @param exposureShare the largest share of a pool's requests that may reach a faulty
 * version
 * @param exposureSlack the number of requests beyond that share that may reach it
 * @author the wagtailmux developers
 */
public record SharedLimits(double retryRatio, Duration retryWindow, double retrySlack, double coldFactor,
		double coldSlack, double exposureShare, double exposureSlack) {

}
