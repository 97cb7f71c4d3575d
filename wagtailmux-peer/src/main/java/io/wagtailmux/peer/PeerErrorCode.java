package io.wagtailmux.peer;

/**
 * Error codes of {@link PeerException}.
 *
 * @author the wagtailmux developers
 */
public enum PeerErrorCode {

	/** The peer could not be reached or did not answer in time. */
	UNREACHABLE,

	/** The address for peers cannot be bound. */
	CANNOT_LISTEN

}
