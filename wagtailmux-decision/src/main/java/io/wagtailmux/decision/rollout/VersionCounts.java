package io.wagtailmux.decision.rollout;

/**
 * The answers that a version gave.
 *
 * @param good those that a sound version gives
 * @param bad failures, and answers that took several times as long as usual
 * @author the wagtailmux developers
 */
public record VersionCounts(long good, long bad) {

	/** No answers. */
	public static final VersionCounts NONE = new VersionCounts(0, 0);

	/**
	 * Adds what somebody else counted.
	 * @param other the other counts
	 * @return the sum
	 */
	public VersionCounts plus(VersionCounts other) {
		return new VersionCounts(this.good + other.good, this.bad + other.bad);
	}

	/**
	 * Counts one answer more.
	 * @param wasGood whether it was a good one
	 * @return the counts with it
	 */
	public VersionCounts withAnswer(boolean wasGood) {
		return plus(wasGood ? new VersionCounts(1, 0) : new VersionCounts(0, 1));
	}

	/**
	 * Returns all answers.
	 * @return the number
	 */
	public long total() {
		return this.good + this.bad;
	}

}
