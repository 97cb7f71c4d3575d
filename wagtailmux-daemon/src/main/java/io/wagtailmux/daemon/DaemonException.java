package io.wagtailmux.daemon;

/**
 * Thrown when an instance cannot be started. Its message is written for the operator.
 *
 * @author the wagtailmux developers
 */
public final class DaemonException extends RuntimeException {

	private final DaemonErrorCode code;

	/**
	 * Creates the exception.
	 * @param code the kind of error
	 * @param message the file, section or address concerned and the invalid value
	 * @param cause the underlying exception, or {@code null} if there is none
	 */
	public DaemonException(DaemonErrorCode code, String message, Throwable cause) {
		super(message, cause);
		this.code = code;
	}

	/**
	 * Returns the kind of error.
	 * @return the code
	 */
	public DaemonErrorCode code() {
		return this.code;
	}

}
