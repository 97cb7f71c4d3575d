package io.wagtailmux.engine.port;

/**
 * Thrown, through the futures of {@link DutyReceiver}, if a call failed.
 *
 * @author the wagtailmux developers
 */
@SuppressWarnings("serial")
public final class DutyException extends RuntimeException {

	private final DutyErrorCode code;

	/**
	 * Creates the exception.
	 * @param code the reason
	 * @param detail the observed failure, for the log
	 */
	public DutyException(DutyErrorCode code, String detail) {
		super(code + ": " + detail);
		this.code = code;
	}

	/**
	 * Returns the reason of the failure.
	 * @return the code
	 */
	public DutyErrorCode code() {
		return this.code;
	}

}
