package io.wagtailmux.decision.rollout;

/**
 * Selects the requests of one instance that go to the version on trial. Not safe for use
 * by several threads.
 *
 * <p>
 * They are spread evenly instead of drawn at random: a draw would sometimes select so few
 * that a bad version is not noticed. A number of requests that may go to the version
 * beyond its share are selected early, so that a pool with little traffic gives enough
 * evidence as well.
 *
 * @author the wagtailmux developers
 */
public final class TrialSampler {

	/** Of so many successive requests, at most one is selected. */
	private static final int MINIMUM_INTERVAL = 4;

	private double due;

	private int sinceSelected;

	/**
	 * Creates a sampler.
	 * @param additional the number of requests that may be selected beyond the share
	 */
	public TrialSampler(double additional) {
		this.due = additional;
	}

	/**
	 * Decides about the next request.
	 * @param share the share of requests to select; all of them if it is one
	 * @return whether the request goes to the version on trial
	 */
	public boolean selectsNext(double share) {
		if (share <= 0 || share >= 1) {
			return share >= 1;
		}
		this.due += share;
		this.sinceSelected++;
		if (this.due < 1 || this.sinceSelected < MINIMUM_INTERVAL) {
			return false;
		}
		this.due--;
		this.sinceSelected = 0;
		return true;
	}

}
