package io.wagtailmux.decision.retry;

import java.time.Duration;

/**
 * Bounds repeated calls to a share of first calls, so that a failing pool sees no storm.
 *
 * <p>
 * Each first call earns a part of a repeat, and so does time, up to a small reserve. Not
 * safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class RetryBudget {

	private static final double EARNED_PER_CALL = 0.05;

	private static final double LARGEST_RESERVE_CALLS = 8;

	private static final double EARNED_PER_SECOND = 0.2;

	private double reserveCalls = LARGEST_RESERVE_CALLS;

	private Duration earnedUntil = Duration.ZERO;

	/**
	 * Takes note of a first call.
	 * @param now the elapsed time
	 */
	public void recordFirstCall(Duration now) {
		double seconds = now.minus(this.earnedUntil).toNanos() / 1e9;
		double earned = EARNED_PER_CALL + seconds * EARNED_PER_SECOND;
		this.earnedUntil = now;
		this.reserveCalls = Math.min(LARGEST_RESERVE_CALLS, this.reserveCalls + earned);
	}

	/**
	 * Spends one repeat.
	 * @return whether the budget allowed it
	 */
	public boolean trySpend() {
		if (this.reserveCalls < 1) {
			return false;
		}
		this.reserveCalls -= 1;
		return true;
	}

}
