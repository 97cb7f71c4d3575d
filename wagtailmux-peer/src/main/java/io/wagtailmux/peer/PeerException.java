package io.wagtailmux.peer;

/**
 * Thrown if a call to a peer fails or the server for peers cannot be started.
 *
 * @author the wagtailmux developers
 */
public final class PeerException extends RuntimeException {

	private final PeerErrorCode code;

	/**
	 * Creates the error.
	 * @param code the kind of failure
	 * @param message the failed operation and the address
	 * @param cause the exception that caused this one
	 */
	public PeerException(PeerErrorCode code, String message, Throwable cause) {
		super(message, cause);
		this.code = code;
	}

	/**
	 * Returns the kind of failure.
	 * @return the error code
	 */
	public PeerErrorCode code() {
		return this.code;
	}

}
