package io.wagtailmux.engine.port;

/**
 * How far a move to another version has come, for the operator.
 *
 * @author the wagtailmux developers
 */
public enum RolloutState {

	/** It goes on. */
	RUNNING,

	/** The version gets everything; those before it may end. */
	COMPLETED,

	/** The version was found bad and gets nothing; those before it stay. */
	ROLLED_BACK;

	/**
	 * Tells whether nothing changes any more.
	 * @return whether the state is a verdict
	 */
	public boolean terminal() {
		return this != RUNNING;
	}

}
