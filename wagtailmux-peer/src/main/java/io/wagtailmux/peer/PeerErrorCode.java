package io.wagtailmux.peer;

/**
 * Error codes of {@link PeerException}.
 *
 * @author the wagtailmux developers
 */
public enum PeerErrorCode {

	/**
	 * The peer could not be reached, did not answer in time, reported an error or sent a
	 * malformed answer.
	 */
	UNREACHABLE,

	/** The address for peers cannot be bound. */
	CANNOT_LISTEN

}
