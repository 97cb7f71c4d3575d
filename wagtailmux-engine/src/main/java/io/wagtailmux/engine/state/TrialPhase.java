package io.wagtailmux.engine.state;

/**
 * How far the move of a pool's requests to another version has come.
 *
 * @author the wagtailmux developers
 */
public enum TrialPhase {

	/** What was decided before is not known yet. */
	UNKNOWN(false, true),

	/** The version gets a small part of the requests. */
	TRIED(false, true),

	/** It gets all requests, and the move is about to be called complete. */
	MOVED(true, true),

	/** It stays; those before it end. */
	COMPLETED(true, true),

	/** It was found bad and gets nothing. */
	STOPPED(false, false);

	private final boolean preferred;

	private final boolean usableAlone;

	TrialPhase(boolean preferred, boolean usableAlone) {
		this.preferred = preferred;
		this.usableAlone = usableAlone;
	}

	/**
	 * Tells whether the version goes before all others.
	 * @return whether it gets all requests
	 */
	public boolean preferred() {
		return this.preferred;
	}

	/**
	 * Tells whether the version serves if the registry names no endpoint of another one.
	 * @return whether it may get what it would not get beside others
	 */
	public boolean usableAlone() {
		return this.usableAlone;
	}

	/**
	 * Returns the part of requests that the version gets.
	 * @param trialShare the part that it gets while it is tried
	 * @return a number from zero to one
	 */
	public double share(double trialShare) {
		if (this.preferred) {
			return 1;
		}
		return (this == TRIED) ? trialShare : 0;
	}

}
