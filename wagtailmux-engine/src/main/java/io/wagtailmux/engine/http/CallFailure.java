package io.wagtailmux.engine.http;

/**
 * How a call failed before a complete response arrived.
 *
 * @author the wagtailmux developers
 */
public enum CallFailure {

	/**
	 * No connection could be opened, or none before the timeout; no byte of the request
	 * was written.
	 */
	NOT_SENT(true),

	/**
	 * The connection was closed or reset after the remote side may have read the request.
	 */
	BROKEN(false),

	/** The received bytes are not a valid response. */
	MALFORMED(false),

	/** The response did not begin before the timeout. */
	TIMED_OUT(false),

	/** This process cancelled the call. */
	CANCELLED(false);

	private final boolean provesNotRun;

	CallFailure(boolean provesNotRun) {
		this.provesNotRun = provesNotRun;
	}

	/**
	 * Returns whether the failure proves that the remote side did not execute the
	 * request, so that it may be sent again safely.
	 * @return whether the request was certainly not executed
	 */
	public boolean provesNotRun() {
		return this.provesNotRun;
	}

}
