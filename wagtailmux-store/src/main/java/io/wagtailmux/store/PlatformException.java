package io.wagtailmux.store;

/**
 * Thrown if a call to the platform fails or a configuration is invalid.
 *
 * @author the wagtailmux developers
 */
public class PlatformException extends RuntimeException {

	private final PlatformErrorCode code;

	/**
	 * Creates the error.
	 * @param code the kind of failure
	 * @param message the operation and the offending value
	 * @param cause the exception that caused this one, or {@code null}
	 */
	public PlatformException(PlatformErrorCode code, String message, Throwable cause) {
		super(message, cause);
		this.code = code;
	}

	/**
	 * Returns the kind of failure.
	 * @return the error code
	 */
	public PlatformErrorCode code() {
		return this.code;
	}

}
