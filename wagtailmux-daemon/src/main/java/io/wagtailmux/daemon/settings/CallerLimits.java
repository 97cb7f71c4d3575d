package io.wagtailmux.daemon.settings;

import java.time.Duration;

/**
 * Limits on the requests of callers to one instance.
 *
 * @param bodyBytes the maximum size of a request body in bytes
 * @param concurrentRequests the maximum number of requests in flight
 * @param maximumTimeout the longest timeout that a request may set
 * @author the wagtailmux developers
 */
public record CallerLimits(int bodyBytes, int concurrentRequests, Duration maximumTimeout) {

	/** Defaults for the limits that the settings of an instance do not set. */
	public static final CallerLimits STANDARD = new CallerLimits(1 << 20, 512, Duration.ofMinutes(5));

}
