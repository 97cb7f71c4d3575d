package io.wagtailmux.decision.stage;

/**
 * The outcome of a call that carried a batch of pieces.
 *
 * @author the wagtailmux developers
 */
public enum BatchOutcome {

	/** The endpoint returned a result or an error for each piece. */
	ANSWERED,

	/** The endpoint was at capacity and executed none of the pieces. */
	REFUSED,

	/** Another endpoint than expected answered at the address. */
	GONE,

	/** The call failed before its end; the endpoint may still be executing it. */
	BROKEN

}
