package io.wagtailmux.daemon.settings;

import java.time.Duration;

/**
 * Bounds on what callers may ask of one instance.
 *
 * @param bodyBytes the largest request body
 * @param concurrentRequests the most requests in progress
 * @param maximumTimeout the longest timeout that a request may ask for
 * @author the wagtailmux developers
 */
public record CallerLimits(int bodyBytes, int concurrentRequests, Duration maximumTimeout) {

	/** What instances use unless their settings say otherwise. */
	public static final CallerLimits STANDARD = new CallerLimits(1 << 20, 512, Duration.ofMinutes(5));

}
