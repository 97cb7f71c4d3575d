package io.wagtailmux.decision.rollout;

import java.time.Duration;

/**
 * Schedule of a rollout to a new version, in terms of the time since the rollout was
 * ordered. Immutable.
 *
 * <p>
 * The requests that a bad version receives, from the order to the deadline of the
 * rollout, must stay below a fraction of the pool's requests. Each instance keeps to this
 * limit with its own requests, so no agreement between instances is needed. First the
 * version gets half of that fraction, for as long as possible, since some faults show
 * late. The other half is used at the end: the version gets all requests for a while
 * before the rollout is reported as complete, since the endpoints of other versions are
 * stopped at that point and should have no calls left.
 *
 * @author the wagtailmux developers
 */
public final class RolloutPlan {

	/** Less than one, since instances receive the order at different times. */
	private static final double USED_EXPOSURE_FRACTION = 0.9;

	private final double trialShare;

	private final Duration takesAllAt;

	private final Duration completeAt;

	/**
	 * Creates the plan of one rollout.
	 * @param exposureShare the fraction of the pool's requests that a bad version may
	 * receive, greater than zero and less than one
	 * @param duration the time from the order to the deadline of the rollout
	 */
	public RolloutPlan(double exposureShare, Duration duration) {
		this.trialShare = exposureShare / 2;
		double trialTimeFraction = (1 - USED_EXPOSURE_FRACTION * exposureShare) / (1 - this.trialShare);
		this.takesAllAt = fractionOf(duration, trialTimeFraction);
		this.completeAt = fractionOf(duration, (1 + trialTimeFraction) / 2);
	}

	/**
	 * Returns the fraction of requests that the version gets during the trial.
	 * @return a number between zero and one
	 */
	public double trialShare() {
		return this.trialShare;
	}

	/**
	 * Returns whether the trial is over, so that the version gets all requests unless it
	 * was found bad.
	 * @param elapsed the time since the order
	 * @return whether the version may get all requests
	 */
	public boolean takesAllRequests(Duration elapsed) {
		return elapsed.compareTo(this.takesAllAt) >= 0;
	}

	/**
	 * Returns whether the rollout is complete, unless the version was found bad.
	 * @param elapsed the time since the order
	 * @return whether the endpoints of the previous versions may be removed
	 */
	public boolean isComplete(Duration elapsed) {
		return elapsed.compareTo(this.completeAt) >= 0;
	}

	private static Duration fractionOf(Duration duration, double fraction) {
		return Duration.ofNanos((long) (duration.toNanos() * fraction));
	}

}
