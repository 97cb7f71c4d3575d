package io.wagtailmux.decision;

/**
 * Ways in which a call ends.
 *
 * @author the wagtailmux developers
 */
public enum CallOutcome {

	/** The whole answer to this call arrived. */
	ANSWERED(true, false, false),

	/** Nothing was written to a socket. */
	NOT_SENT(false, true, false),

	/** The endpoint refused it and proved that it did not run. */
	REFUSED(false, true, false),

	/** The endpoint answered with an error; the call may have run. */
	FAILED(false, false, false),

	/** The connection broke before the whole answer arrived; the call may have run. */
	BROKEN(false, false, true),

	/** The whole answer did not arrive in time; the call may have run. */
	TIMED_OUT(false, false, true),

	/** The answer belonged to another call; this one may have run. */
	CROSSED(false, false, false),

	/** The caller went away; the call may have run. */
	ABANDONED(false, false, true);

	private final boolean successful;

	private final boolean provenNotRun;

	private final boolean mayStillRun;

	CallOutcome(boolean successful, boolean provenNotRun, boolean mayStillRun) {
		this.mayStillRun = mayStillRun;
		this.successful = successful;
		this.provenNotRun = provenNotRun;
	}

	/**
	 * Tells whether the call was answered whole.
	 * @return whether the answer may be used
	 */
	public boolean successful() {
		return this.successful;
	}

	/**
	 * Tells whether the call certainly had no effect.
	 * @return whether it is proven that the call did not run
	 */
	public boolean provenNotRun() {
		return this.provenNotRun;
	}

	/**
	 * Tells whether the endpoint may go on running the call.
	 * @return whether the call was given up on before the endpoint ended it
	 */
	public boolean mayStillRun() {
		return this.mayStillRun;
	}

}
