package io.wagtailmux.decision.rollout;

/**
 * Counts of good and bad answers of a version.
 *
 * @param good the number of successful answers at about the usual speed
 * @param bad the number of failures and of answers that took several times as long as
 * usual
 * @author the wagtailmux developers
 */
public record VersionCounts(long good, long bad) {

	/** No answers. */
	public static final VersionCounts NONE = new VersionCounts(0, 0);

	/**
	 * Returns the sum of these and other counts.
	 * @param other the other counts
	 * @return the sum
	 */
	public VersionCounts plus(VersionCounts other) {
		return new VersionCounts(this.good + other.good, this.bad + other.bad);
	}

	/**
	 * Returns these counts with one more answer.
	 * @param wasGood whether the answer was good
	 * @return the new counts
	 */
	public VersionCounts withAnswer(boolean wasGood) {
		return plus(wasGood ? new VersionCounts(1, 0) : new VersionCounts(0, 1));
	}

	/**
	 * Returns the number of all answers.
	 * @return the sum of good and bad answers
	 */
	public long total() {
		return this.good + this.bad;
	}

}
