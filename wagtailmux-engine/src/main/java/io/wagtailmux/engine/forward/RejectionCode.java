package io.wagtailmux.engine.forward;

/**
 * Reason for which this instance answers a request with an error response of its own. The
 * name, in lower case, is sent to the caller.
 *
 * @author the wagtailmux developers
 */
public enum RejectionCode {

	/** This instance has not received a configuration yet. */
	NOT_READY(503, true),

	/** This instance may stop before the request's deadline; another one can serve it. */
	STOPPING(503, true),

	/** The request cannot be read, or its framing is ambiguous. */
	MALFORMED_REQUEST(400, false),

	/** The request line or the headers exceed their size limit. */
	HEADERS_TOO_LARGE(431, false),

	/** The body is larger than the configuration allows. */
	BODY_TOO_LARGE(413, false),

	/** The request did not arrive completely in time. */
	REQUEST_TOO_SLOW(408, false),

	/** The API key is missing or belongs to no organisation. */
	UNKNOWN_KEY(401, false),

	/** No route matches the host and path. */
	NO_ROUTE(404, false),

	/** The request would not be answered, or was not started, before its deadline. */
	OVERLOADED(503, true),

	/** All endpoints name limits of requests per second, which are used up. */
	LIMITED(503, true),

	/** No endpoint is available for the request now. */
	NO_ENDPOINT(503, true),

	/**
	 * A part of the prompt has crashed several endpoints; sending it again does not help.
	 */
	PROMPT_PART_REFUSED(503, false),

	/** A part of the prompt may have crashed several endpoints; known shortly. */
	PROMPT_PART_SUSPECTED(503, true),

	/** The request has crashed several endpoints; sending it again does not help. */
	REQUEST_REFUSED(503, false),

	/** The request may have crashed several endpoints; known shortly. */
	REQUEST_SUSPECTED(503, true),

	/** This instance failed before it sent the request to an endpoint. */
	INTERNAL_ERROR(503, true),

	/** A stage that the request needs failed. */
	STAGES_FAILED(503, true),

	/** An endpoint may have executed the request, but gave no complete response. */
	UNKNOWN_OUTCOME(502, false),

	/** An endpoint may have executed the request, but gave no response in time. */
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
	 * Returns whether the code tells the caller that the request did not run.
	 * @return false if an endpoint may have run it
	 */
	public boolean notRun() {
		return this != UNKNOWN_OUTCOME && this != TIMED_OUT;
	}

	/**
	 * Returns whether the caller may send the request again. The response then states a
	 * delay, which also tells the caller that the request was not and will not be
	 * executed.
	 * @return whether the response has a retry delay
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
