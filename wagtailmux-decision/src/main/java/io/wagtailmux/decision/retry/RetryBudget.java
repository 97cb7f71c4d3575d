package io.wagtailmux.decision.retry;

import java.time.Duration;

/**
 * Limits retries to a fraction of first calls, so that a failing pool is not overloaded
 * by retries.
 *
 * <p>
 * The balance starts at its maximum. Each first call adds a fraction of a retry to it,
 * and so does the time since the previous first call; it never exceeds the maximum. Not
 * safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class RetryBudget {

	private static final double RETRIES_PER_CALL = 0.05;

	private static final double MAX_BALANCE_RETRIES = 8;

	private static final double RETRIES_PER_SECOND = 0.2;

	private double balanceRetries = MAX_BALANCE_RETRIES;

	private Duration updatedAt = Duration.ZERO;

	/**
	 * Records a first call and adds to the balance.
	 * @param now the elapsed time of the instance's clock
	 */
	public void recordFirstCall(Duration now) {
		double seconds = now.minus(this.updatedAt).toNanos() / 1e9;
		double earned = RETRIES_PER_CALL + seconds * RETRIES_PER_SECOND;
		this.updatedAt = now;
		this.balanceRetries = Math.min(MAX_BALANCE_RETRIES, this.balanceRetries + earned);
	}

	/**
	 * Takes one retry from the balance if there is one.
	 * @return whether the retry is allowed; if {@code false}, the balance is unchanged
	 */
	public boolean trySpend() {
		if (this.balanceRetries < 1) {
			return false;
		}
		this.balanceRetries -= 1;
		return true;
	}

}
