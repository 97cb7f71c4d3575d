package io.wagtailmux.decision.share;

import java.time.Duration;

/**
 * This instance's share of the retry budget of a pool. Not thread-safe.
 *
 * <p>
 * All instances together may retry a fraction of the pool's requests, plus a fixed number
 * of calls, in each window. The fraction needs no coordination, since each instance
 * counts its own requests. The fixed number, the slack, is divided by the number of
 * instances that may be alive.
 *
 * @author the wagtailmux developers
 */
public final class RetryBudgetShare {

	/** Leaves a margin for windows that begin at other times than this instance's own. */
	private static final double USED_FRACTION = 0.6;

	private final double ratio;

	private final SlidingCount firstCalls;

	private final SlidingCount retries;

	private double slackShare;

	/**
	 * Creates a share without slack.
	 * @param ratio the number of retries allowed per request
	 * @param window the duration of the window in which requests and retries are counted
	 */
	public RetryBudgetShare(double ratio, Duration window) {
		this.ratio = ratio;
		this.firstCalls = new SlidingCount(window);
		this.retries = new SlidingCount(window);
	}

	/**
	 * Updates this instance's part of the slack.
	 * @param slack the retries that all instances together may make in a window beyond
	 * the ratio
	 * @param instances the number of instances that may be alive, at least one
	 */
	public void updateSlack(double slack, int instances) {
		this.slackShare = slack / instances;
	}

	/**
	 * Records the first call of a request.
	 * @param now the elapsed time
	 */
	public void recordFirstCall(Duration now) {
		this.firstCalls.add(now);
	}

	/**
	 * Acquires permission for one retry if this instance's share is not used up.
	 * @param now the elapsed time
	 * @return whether a call may be retried
	 */
	public boolean tryAcquire(Duration now) {
		double allowed = USED_FRACTION * (this.ratio * this.firstCalls.count(now) + this.slackShare);
		if (this.retries.count(now) + 1 > allowed) {
			return false;
		}
		this.retries.add(now);
		return true;
	}

}
