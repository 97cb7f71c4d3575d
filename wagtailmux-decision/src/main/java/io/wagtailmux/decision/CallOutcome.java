package io.wagtailmux.decision;

/**
 * Outcome of a call to an endpoint.
 *
 * @author the wagtailmux developers
 */
public enum CallOutcome {

	/** The complete answer to this call was received. */
	ANSWERED(true, false, false),

	/** No byte of the call was written to a socket. */
	NOT_SENT(false, true, false),

	/** The endpoint refused the call and confirmed that it did not run. */
	REFUSED(false, true, false),

	/** The endpoint answered with an error; the call may have run. */
	FAILED(false, false, false),

	/**
	 * The connection failed before the complete answer arrived; the call may have run.
	 */
	BROKEN(false, false, true),

	/** The complete answer did not arrive before the timeout; the call may have run. */
	TIMED_OUT(false, false, true),

	/** The received answer belonged to another call; this call may have run. */
	CROSSED(false, false, false),

	/** The caller disconnected before the answer arrived; the call may have run. */
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
	 * Returns whether the complete answer was received.
	 * @return whether the answer may be used
	 */
	public boolean successful() {
		return this.successful;
	}

	/**
	 * Returns whether the call is known to have had no effect.
	 * @return {@code true} if it is proven that the call did not run; {@code false} if it
	 * may have run
	 */
	public boolean provenNotRun() {
		return this.provenNotRun;
	}

	/**
	 * Returns whether the endpoint may still be running the call.
	 * @return whether this instance stopped waiting before the endpoint ended the call
	 */
	public boolean mayStillRun() {
		return this.mayStillRun;
	}

}
