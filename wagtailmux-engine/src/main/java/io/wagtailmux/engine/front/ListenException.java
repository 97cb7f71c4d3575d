package io.wagtailmux.engine.front;

/**
 * Thrown when a listener cannot be bound to its address.
 *
 * @author the wagtailmux developers
 */
@SuppressWarnings("serial")
public final class ListenException extends RuntimeException {

	/**
	 * Creates the exception.
	 * @param message the failed operation and the address
	 * @param cause the reason of the failure
	 */
	public ListenException(String message, Throwable cause) {
		super(message, cause);
	}

}
