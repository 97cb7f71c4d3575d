package io.wagtailmux.decision.rollout;

/**
 * Decides from counted answers whether a version is worse than the previous ones.
 *
 * <p>
 * It detects versions that fail or are slow for some of their requests, on one route only
 * or after a while. A few bad answers suffice, provided that they are more than are
 * likely by chance at the rate of bad answers of the previous versions.
 *
 * @author the wagtailmux developers
 */
public final class VersionEvaluation {

	/** By chance, the number of bad answers rarely exceeds its mean by more than this. */
	private static final double STANDARD_DEVIATIONS = 3;

	/**
	 * Single bad answers have other causes, such as a replaced endpoint or an interrupted
	 * network link.
	 */
	private static final double TOLERATED_BAD_ANSWERS = 4;

	/** Lower bound of the expected rate, for previous versions without bad answers. */
	private static final double MIN_BAD_ANSWER_RATE = 0.002;

	private VersionEvaluation() {
	}

	/**
	 * Decides whether a version gives bad answers more often than the previous ones.
	 * @param tried the answers of the version, summed over all instances
	 * @param others the answers of the previous versions in the same period
	 * @return whether the version has more bad answers than are likely by chance
	 */
	public static boolean isWorse(VersionCounts tried, VersionCounts others) {
		double rate = (others.total() > 0) ? (double) others.bad() / others.total() : 0;
		double expected = tried.total() * Math.max(rate, MIN_BAD_ANSWER_RATE);
		return tried.bad() > expected + STANDARD_DEVIATIONS * Math.sqrt(expected) + TOLERATED_BAD_ANSWERS;
	}

}
