package io.wagtailmux.decision.feed;

import java.time.Duration;

/**
 * How long the store waits for changes in one call before it answers that there are none.
 *
 * <p>
 * Load pattern: all instances follow the same tables while nothing changes, and the store
 * charges for each call. A longer wait needs fewer calls, but a call that is never
 * answered, or whose connection has fallen silent, holds up changes until it times out.
 * So the wait is as long as the time allows in which an instance must have recovered from
 * a fault of its connections.
 *
 * @param usualWait the wait while the store answers
 * @param failingWait the wait while it fails, which is shorter since a call may be lost
 * just before the store is available again
 * @author the wagtailmux developers
 */
public record FeedTiming(Duration usualWait, Duration failingWait) {

	/** For the time-out of the lost call, and for the next call. */
	private static final Duration RECOVERY_MARGIN = Duration.ofSeconds(1);

	private static final Duration MINIMUM_WAIT = Duration.ofMillis(500);

	/** Beyond this, fewer calls save little. */
	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(10);

	/**
	 * Returns the waits for a bound on the recovery.
	 * @param recoveryBound the time after the end of a fault of its connections within
	 * which an instance must follow the store again
	 * @return the waits
	 */
	public static FeedTiming of(Duration recoveryBound) {
		Duration wait = recoveryBound.minus(RECOVERY_MARGIN);
		if (wait.compareTo(MINIMUM_WAIT) < 0) {
			wait = MINIMUM_WAIT;
		}
		return new FeedTiming((wait.compareTo(MAXIMUM_WAIT) < 0) ? wait : MAXIMUM_WAIT, MINIMUM_WAIT);
	}

}
