package io.wagtailmux.decision.share;

import java.time.Duration;

/**
 * This instance's part of the repeats that a pool may get from all instances.
 *
 * <p>
 * All instances together may repeat a share of the pool's requests plus a fixed number in
 * each window. The share needs no agreement, since each instance counts its own requests;
 * the fixed number is divided by the instances that may be alive.
 *
 * @author the wagtailmux developers
 */
public final class RetryBudgetShare {

	/** Keeps room for windows that are cut differently by whoever counts. */
	private static final double USED_PART = 0.6;

	private final double ratio;

	private final SlidingCount first;

	private final SlidingCount repeats;

	private double fixedPart;

	/**
	 * Creates the share.
	 * @param ratio the repeats for each request
	 * @param window the span of time that repeats are counted over
	 */
	public RetryBudgetShare(double ratio, Duration window) {
		this.ratio = ratio;
		this.first = new SlidingCount(window);
		this.repeats = new SlidingCount(window);
	}

	/**
	 * Sets this instance's part of the fixed number.
	 * @param repeats the number in a window for all instances
	 * @param instances the instances that may be alive, at least one
	 */
	public void updateSlack(double repeats, int instances) {
		this.fixedPart = repeats / instances;
	}

	/**
	 * Takes note of a request's first call.
	 * @param now the elapsed time
	 */
	public void recordFirstCall(Duration now) {
		this.first.add(now);
	}

	/**
	 * Takes a repeat if there is one left.
	 * @param now the elapsed time
	 * @return whether the call may be repeated
	 */
	public boolean tryAcquire(Duration now) {
		double allowed = USED_PART * (this.ratio * this.first.count(now) + this.fixedPart);
		if (this.repeats.count(now) + 1 > allowed) {
			return false;
		}
		this.repeats.add(now);
		return true;
	}

}
