package io.wagtailmux.testbed.standin;

/**
 * Thrown when a stand-in or another part of the test bed fails.
 *
 * @author the wagtailmux developers
 */
public final class StandInException extends RuntimeException {

	/**
	 * Creates an exception.
	 * @param message a description of the failure
	 * @param cause the cause, or null if there is none
	 */
	public StandInException(String message, Throwable cause) {
		super(message, cause);
	}

}
