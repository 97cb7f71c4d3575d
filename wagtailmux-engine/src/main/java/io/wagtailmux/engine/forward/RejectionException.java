package io.wagtailmux.engine.forward;

/**
 * Thrown when this instance rejects a request before any work was done for it.
 *
 * @author the wagtailmux developers
 */
@SuppressWarnings("serial")
final class RejectionException extends RuntimeException {

	private final RejectionCode code;

	/**
	 * Creates the exception.
	 * @param code the reason, sent to the caller
	 * @param why the details, for the log only
	 */
	RejectionException(RejectionCode code, String why) {
		super(why);
		this.code = code;
	}

	RejectionCode code() {
		return this.code;
	}

}
