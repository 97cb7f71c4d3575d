package io.wagtailmux.decision.estimate;

import java.time.Duration;

/**
 * Splits the remaining time of a request among its remaining stages.
 *
 * @author the wagtailmux developers
 */
public final class StageDeadline {

	private StageDeadline() {
	}

	/**
	 * Returns the timeout of one attempt of a stage. The remaining time is split in
	 * proportion to the expected service times of this stage and the later ones; the
	 * attempt gets more if the expected service times of the later stages are shorter
	 * than their part.
	 * @param remaining the time until the request's deadline
	 * @param stage the expected service time of the stage
	 * @param after the sum of the expected service times of the later stages
	 * @return the timeout, at most {@code remaining}; negative if the deadline has passed
	 */
	public static Duration attemptTimeout(Duration remaining, Duration stage, Duration after) {
		if (after.isZero() || remaining.isNegative()) {
			return remaining;
		}
		double fraction = (double) stage.toNanos() / stage.plus(after).toNanos();
		Duration proportional = Duration.ofNanos((long) (remaining.toNanos() * fraction));
		Duration latest = remaining.minus(after);
		return (latest.compareTo(proportional) > 0) ? latest : proportional;
	}

}
