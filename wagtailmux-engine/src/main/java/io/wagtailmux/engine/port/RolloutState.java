package io.wagtailmux.engine.port;

/**
 * State of a rollout of a version, as shown to the operator.
 *
 * @author the wagtailmux developers
 */
public enum RolloutState {

	/** The rollout is in progress. */
	RUNNING,

	/** The version gets all traffic; endpoints of earlier versions may be stopped. */
	COMPLETED,

	/** The version was rejected and gets no traffic; earlier versions keep theirs. */
	ROLLED_BACK;

	/**
	 * Returns whether the rollout has ended and its state does not change any more.
	 * @return whether the state is final
	 */
	public boolean terminal() {
		return this != RUNNING;
	}

}
