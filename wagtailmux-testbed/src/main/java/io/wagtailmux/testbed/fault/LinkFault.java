package io.wagtailmux.testbed.fault;

/**
 * Faults of a network link.
 *
 * @author the wagtailmux developers
 */
public enum LinkFault {

	/** No fault: bytes are forwarded in both directions. */
	NONE,

	/** Open connections and new ones are reset. */
	RESET,

	/** Bytes are discarded in both directions; connections stay open. */
	BLACK_HOLE,

	/** Bytes to the server are forwarded, bytes from it are discarded. */
	ANSWERS_DROPPED,

	/** The output to the server is closed once bytes of a request were forwarded. */
	HALF_CLOSE

}
