package io.wagtailmux.engine.state;

/**
 * Phase of the rollout of a version in a pool.
 *
 * @author the wagtailmux developers
 */
public enum TrialPhase {

	/** No status of the rollout is known yet; the version gets no share of requests. */
	UNKNOWN(false, true),

	/** The version gets a small share of the requests. */
	TRIED(false, true),

	/** The version gets all requests; the rollout is about to be complete. */
	MOVED(true, true),

	/** The rollout is complete; endpoints of earlier versions may stop. */
	COMPLETED(true, true),

	/** The version was rejected and gets no requests. */
	STOPPED(false, false);

	private final boolean preferred;

	private final boolean usableAlone;

	TrialPhase(boolean preferred, boolean usableAlone) {
		this.preferred = preferred;
		this.usableAlone = usableAlone;
	}

	/**
	 * Returns whether the version is preferred to all others.
	 * @return whether it gets all requests
	 */
	public boolean preferred() {
		return this.preferred;
	}

	/**
	 * Returns whether the version may get more than its share if no endpoint of another
	 * version is registered, other than draining ones.
	 * @return whether it may get all requests then
	 */
	public boolean usableAlone() {
		return this.usableAlone;
	}

	/**
	 * Returns the share of requests that the version gets.
	 * @param trialShare the share in the phase {@link #TRIED}
	 * @return a number from zero to one
	 */
	public double share(double trialShare) {
		if (this.preferred) {
			return 1;
		}
		return (this == TRIED) ? trialShare : 0;
	}

}
