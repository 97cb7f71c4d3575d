package io.wagtailmux.testbed.fault;

/**
 * Faults of a network link.
 *
 * @author the wagtailmux developers
 */
public enum LinkFault {

	/** Bytes pass. */
	NONE,

	/** Connections are reset, and new ones too. */
	RESET,

	/** Bytes vanish; connections stay open. */
	BLACK_HOLE,

	/** Bytes towards the server pass, answers vanish. */
	ANSWERS_DROPPED,

	/** The server's side is closed after the request was passed on. */
	HALF_CLOSE

}
