package io.wagtailmux.decision.rollout;

import java.time.Duration;

/**
 * The steps of a move to another version, by the time since it was ordered.
 *
 * <p>
 * All requests that reach a version that proves to be bad, from the order to the
 * deadline, must stay below a part of the pool's requests. Each instance keeps to that
 * with its own requests, so nothing needs to be agreed on. First the version is tried
 * with half of that part, for as long as possible, since some faults show late. The other
 * half is spent on the last moments, in which it gets everything before the move is
 * called complete: others end at once then, and should have nothing left.
 *
 * @author the wagtailmux developers
 */
public final class RolloutPlan {

	/** Keeps room for instances that learn of the order at different times. */
	private static final double USED_PART = 0.9;

	private final double trialShare;

	private final Duration movesAt;

	private final Duration completesAt;

	/**
	 * Creates the plan of one move.
	 * @param exposureShare the part of the pool's requests that a bad version may get,
	 * above zero and below one
	 * @param duration the time for the move
	 */
	public RolloutPlan(double exposureShare, Duration duration) {
		this.trialShare = exposureShare / 2;
		double triedPart = (1 - USED_PART * exposureShare) / (1 - this.trialShare);
		this.movesAt = part(duration, triedPart);
		this.completesAt = part(duration, (1 + triedPart) / 2);
	}

	/**
	 * Returns the part of requests that the version gets while it is tried.
	 * @return a number from zero to one
	 */
	public double trialShare() {
		return this.trialShare;
	}

	/**
	 * Tells whether the version, if it is sound, gets all requests.
	 * @param age the time since the order
	 * @return whether the last moments have begun
	 */
	public boolean takesAllRequests(Duration age) {
		return age.compareTo(this.movesAt) >= 0;
	}

	/**
	 * Tells whether the move, if the version is sound, is complete.
	 * @param age the time since the order
	 * @return whether the versions before it may end
	 */
	public boolean isComplete(Duration age) {
		return age.compareTo(this.completesAt) >= 0;
	}

	private static Duration part(Duration duration, double part) {
		return Duration.ofNanos((long) (duration.toNanos() * part));
	}

}
