package io.wagtailmux.decision.rollout;

/**
 * Counts of the version on trial beside those of the previous versions, over the same
 * period.
 *
 * @param tried the counts of the version on trial
 * @param others the counts of the previous versions
 * @author the wagtailmux developers
 */
public record VersionComparison(VersionCounts tried, VersionCounts others) {

	/** No counts. */
	public static final VersionComparison NONE = new VersionComparison(VersionCounts.NONE, VersionCounts.NONE);

	/**
	 * Returns the sum of these and other counts.
	 * @param other the other counts
	 * @return the sum
	 */
	public VersionComparison plus(VersionComparison other) {
		return new VersionComparison(this.tried.plus(other.tried), this.others.plus(other.others));
	}

	/**
	 * Returns whether the version on trial is worse than the previous ones.
	 * @return whether it has more bad counts than are likely by chance
	 */
	public boolean isWorse() {
		return VersionEvaluation.isWorse(this.tried, this.others);
	}

	VersionComparison with(boolean byTried, boolean good) {
		return byTried ? new VersionComparison(this.tried.withAnswer(good), this.others)
				: new VersionComparison(this.tried, this.others.withAnswer(good));
	}

}
