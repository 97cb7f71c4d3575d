package io.wagtailmux.daemon.operator;

import java.util.Locale;

/**
 * Error codes of the HTTP interface for operators, each with its HTTP status.
 *
 * @author the wagtailmux developers
 */
public enum OperatorErrorCode {

	/** The operator token is missing or wrong. */
	UNAUTHORISED(401),

	/** The path, or the configuration version in it, does not exist. */
	UNKNOWN_PATH(404),

	/** The request body does not have the form that the path requires. */
	MALFORMED_BODY(400),

	/** The configuration is not valid. */
	INVALID_CONFIGURATION(400),

	/** Another change was accepted since the expected version. */
	CONFLICT(409),

	/** The store of the platform is not available. */
	PLATFORM_UNAVAILABLE(503),

	/** An unexpected error of the instance. */
	INTERNAL(500);

	private final int status;

	OperatorErrorCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status of responses with this code.
	 * @return the status, 400 to 599
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the code as it appears in responses.
	 * @return the code in lower case with hyphens
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
