package io.wagtailmux.decision.placement;

import java.time.Duration;

/**
 * The share of good answers of an endpoint, with exponential decay of older answers. Not
 * thread-safe.
 *
 * <p>
 * It detects an endpoint that fails some of its requests although its health probe
 * succeeds. Without new answers the rate returns to one, so that a repaired endpoint is
 * tried again.
 *
 * @author the wagtailmux developers
 */
public final class SuccessRate {

	private static final double HALF_LIFE_SECONDS = 3;

	/** Good answers that are assumed besides those counted. */
	private static final double PRIOR_ANSWERS = 2;

	private double good;

	private double all;

	private Duration countedAt = Duration.ZERO;

	/**
	 * Adds the result of a call.
	 * @param wasGood whether the endpoint gave a good answer
	 * @param now the elapsed time
	 */
	public void add(boolean wasGood, Duration now) {
		decay(now);
		this.all += 1;
		this.good += wasGood ? 1 : 0;
	}

	/**
	 * Returns the decayed rate.
	 * @param now the elapsed time
	 * @return a number above zero and at most one
	 */
	public double value(Duration now) {
		decay(now);
		return (this.good + PRIOR_ANSWERS) / (this.all + PRIOR_ANSWERS);
	}

	private void decay(Duration now) {
		double seconds = now.minus(this.countedAt).toNanos() / 1e9;
		double factor = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
		this.good *= factor;
		this.all *= factor;
		this.countedAt = now;
	}

}
