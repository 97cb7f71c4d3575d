package io.wagtailmux.engine.port;

/**
 * Thrown if a message or row does not have the required format.
 *
 * @author the wagtailmux developers
 */
@SuppressWarnings("serial")
public final class ProtocolException extends RuntimeException {

	private final ProtocolErrorCode code;

	/**
	 * Creates the exception.
	 * @param code the kind of error
	 * @param detail the field and its value, for the log
	 */
	public ProtocolException(ProtocolErrorCode code, String detail) {
		super(code + ": " + detail);
		this.code = code;
	}

	/**
	 * Returns the kind of error.
	 * @return the code
	 */
	public ProtocolErrorCode code() {
		return this.code;
	}

}
