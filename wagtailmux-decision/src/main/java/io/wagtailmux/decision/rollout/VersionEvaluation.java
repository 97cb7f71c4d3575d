package io.wagtailmux.decision.rollout;

/**
 * Tells from counted answers whether a version is worse than those before it.
 *
 * <p>
 * It answers versions that fail or are slow for a part of their requests, on one route
 * only or late: few bad answers are enough, but more than chance brings about at the rate
 * at which the versions before give them.
 *
 * @author the wagtailmux developers
 */
public final class VersionEvaluation {

	/** Chance alone stays below the mean plus this many standard deviations. */
	private static final double DEVIATIONS = 3;

	/** Single bad answers have other causes: an endpoint that is replaced, a cut. */
	private static final double TOLERATED = 4;

	/** What is taken as bad answers of versions that gave none. */
	private static final double LEAST_RATE = 0.002;

	private VersionEvaluation() {
	}

	/**
	 * Judges a version.
	 * @param tried its answers, as all instances saw them
	 * @param others the answers of the versions before it in the same time
	 * @return whether it gives bad answers more often than they do
	 */
	public static boolean isWorse(VersionCounts tried, VersionCounts others) {
		double rate = (others.total() > 0) ? (double) others.bad() / others.total() : 0;
		double expected = tried.total() * Math.max(rate, LEAST_RATE);
		return tried.bad() > expected + DEVIATIONS * Math.sqrt(expected) + TOLERATED;
	}

}
