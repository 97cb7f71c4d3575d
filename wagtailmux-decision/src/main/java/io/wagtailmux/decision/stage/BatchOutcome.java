package io.wagtailmux.decision.stage;

/**
 * How a call with pieces ended.
 *
 * @author the wagtailmux developers
 */
public enum BatchOutcome {

	/** The endpoint answered for each piece. */
	ANSWERED,

	/** The endpoint was full and did nothing. */
	REFUSED,

	/** The endpoint is not the one that was expected at its address. */
	GONE,

	/** The call broke off; the endpoint may still be working on it. */
	BROKEN

}
