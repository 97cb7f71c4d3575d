package io.wagtailmux.decision.duty;

import java.time.Duration;

/**
 * Times of the lease on the duties.
 *
 * @param length how long a row must be unchanged before another instance takes over
 * @param settling how long a new holder waits before its first call, so that calls of the
 * previous one that were on their way have arrived
 * @author the wagtailmux developers
 */
public record LeaseTiming(Duration length, Duration settling) {

	/** A renewal may fail twice without the loss of the lease. */
	private static final int RENEWALS_PER_LENGTH = 3;

	/** Part of the length that is left for calls that are on their way. */
	private static final int MARGINS_PER_LENGTH = 6;

	private static final int HANDOVER_LENGTHS = 10;

	private static final Duration READ_RETRY_PAUSE = Duration.ofMillis(400);

	/**
	 * Returns the time between two renewals.
	 * @return the interval
	 */
	Duration renewalInterval() {
		return this.length.dividedBy(RENEWALS_PER_LENGTH);
	}

	/**
	 * Returns how long after sending a write that succeeded the holder may act.
	 * @return less than the length
	 */
	Duration actingTime() {
		return this.length.minus(this.length.dividedBy(MARGINS_PER_LENGTH));
	}

	/**
	 * Returns how long an instance of higher rank must have been there before the holder
	 * hands over to it, so that holders change rarely.
	 * @return the time
	 */
	public Duration handoverDelay() {
		return this.length.multipliedBy(HANDOVER_LENGTHS);
	}

	Duration readRetryPause() {
		return READ_RETRY_PAUSE;
	}

}
