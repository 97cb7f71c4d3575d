package io.wagtailmux.daemon.traffic;

import java.util.Locale;

/**
 * Codes of the errors that are returned to callers, each with its HTTP status.
 *
 * @author the wagtailmux developers
 */
public enum ProblemCode {

	/** The body is not a JSON object whose only field is {@code input}. */
	MALFORMED_BODY(400, "The body must be a JSON object with the member 'input'"),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, "The body is too large"),

	/** The request is not HTTP, or not all of its headers could be read. */
	MALFORMED_REQUEST(400, "The request is not valid HTTP"),

	/** The headers are larger than allowed. */
	HEADERS_TOO_LARGE(431, "The headers are too large"),

	/** The body was not received within the timeout for bodies. */
	BODY_TOO_SLOW(408, "The body did not arrive in time"),

	/** A header of the request is not valid. */
	INVALID_HEADER(400, "A header is not valid"),

	/** The token is missing or belongs to no organisation. */
	UNAUTHORISED(401, "The token is missing or unknown"),

	/** There is no such pipeline. */
	UNKNOWN_PIPELINE(404, "There is no such pipeline"),

	/** There is no such path. */
	UNKNOWN_PATH(404, "There is no such path"),

	/** The path does not support the method. */
	METHOD_NOT_ALLOWED(405, "The path does not take this method"),

	/** The key was used before with another body or pipeline. */
	KEY_REUSED(422, "The idempotency key was used with another body or pipeline"),

	/** A request with the key is in progress, or its outcome is unknown. */
	KEY_UNRESOLVED(409, "A request with the idempotency key has not ended, or ended unknown"),

	/** The instance has no configuration yet or is shutting down. */
	NOT_READY(503, "The instance takes no requests"),

	/** The instance has reached its limit of concurrent requests. */
	OVERLOADED(429, "The instance has too many requests in progress"),

	/** No endpoint is eligible for the stage, or the queue of its pool is full. */
	REFUSED(503, "No endpoint takes the request"),

	/** The deadline is not expected to be met, so the request or a stage was not run. */
	DEADLINE_UNREACHABLE(503, "The deadline cannot be met"),

	/** A call timed out, or too little time remained to retry a failed call. */
	DEADLINE_EXCEEDED(504, "The deadline passed"),

	/** A stage failed and was not retried. */
	STAGE_FAILED(502, "A stage failed"),

	/**
	 * The platform's table, which requests with an idempotency key need, does not answer.
	 */
	PLATFORM_UNAVAILABLE(503, "Keyed requests cannot be taken just now"),

	/** An internal error of the instance. */
	INTERNAL(500, "The instance failed");

	private final int status;

	private final String title;

	ProblemCode(int status, String title) {
		this.status = status;
		this.title = title;
	}

	/**
	 * Returns the HTTP status of responses with this code.
	 * @return the status, 400 to 599
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns a summary that is the same for all errors with this code.
	 * @return the title, one sentence without a full stop
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the name of the code in responses to callers.
	 * @return the name, such as {@code malformed-body}
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
