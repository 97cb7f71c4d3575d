package io.wagtailmux.decision.estimate;

import java.time.Duration;

/**
 * Splits the remaining time of a request over its remaining stages.
 *
 * @author the wagtailmux developers
 */
public final class StageDeadline {

	private StageDeadline() {
	}

	/**
	 * Returns how long one attempt of a stage may take. The time to spare is split in
	 * proportion to the expected service times of the stage and of those after it.
	 * @param left the time until the request's deadline
	 * @param stage the expected service time of the stage
	 * @param after the expected service times of the stages after it, added up
	 * @return the time limit, at most {@code left}
	 */
	public static Duration attemptTimeout(Duration left, Duration stage, Duration after) {
		if (after.isZero() || left.isNegative()) {
			return left;
		}
		double fraction = (double) stage.toNanos() / stage.plus(after).toNanos();
		Duration proportional = Duration.ofNanos((long) (left.toNanos() * fraction));
		Duration latest = left.minus(after);
		return (latest.compareTo(proportional) > 0) ? latest : proportional;
	}

}
