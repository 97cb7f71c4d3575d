package io.wagtailmux.engine.forward;

/**
 * Why this instance answers a request by itself.
 *
 * @author the wagtailmux developers
 */
public enum RejectionCode {

	/** No configuration is known yet. */
	NOT_READY(503, true),

	/** This instance ends before the request's deadline; others go on. */
	STOPPING(503, true),

	/** The request cannot be read, or its framing is ambiguous. */
	MALFORMED_REQUEST(400, false),

	/** The headers are larger than the configuration allows. */
	HEADERS_TOO_LARGE(431, false),

	/** The body is larger than the configuration allows. */
	BODY_TOO_LARGE(413, false),

	/** The request was not there in time. */
	REQUEST_TOO_SLOW(408, false),

	/** No organisation holds the key. */
	UNKNOWN_KEY(401, false),

	/** No route matches. */
	NO_ROUTE(404, false),

	/** It would not be answered before its deadline. */
	OVERLOADED(503, true),

	/** No endpoint may take it now. */
	NO_ENDPOINT(503, true),

	/** Stage work that it needs could not be done. */
	STAGES_FAILED(503, true),

	/** An endpoint may have run it, but gave no whole answer. */
	UNKNOWN_OUTCOME(502, false),

	/** An endpoint may have run it, but gave no answer in time. */
	TIMED_OUT(504, false);

	private final int status;

	private final boolean retryable;

	RejectionCode(int status, boolean retryable) {
		this.status = status;
		this.retryable = retryable;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Tells whether the caller is told when to come back. That also says that the request
	 * has not run and will not.
	 * @return whether the answer has a time
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
