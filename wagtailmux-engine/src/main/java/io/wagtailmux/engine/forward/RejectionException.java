package io.wagtailmux.engine.forward;

/**
 * A request is answered by this instance itself, before anything was done for it.
 *
 * @author the wagtailmux developers
 */
@SuppressWarnings("serial")
final class RejectionException extends RuntimeException {

	private final RejectionCode code;

	/**
	 * Creates the exception.
	 * @param code what the caller is told
	 * @param why what was seen, for the log
	 */
	RejectionException(RejectionCode code, String why) {
		super(why);
		this.code = code;
	}

	RejectionCode code() {
		return this.code;
	}

}
