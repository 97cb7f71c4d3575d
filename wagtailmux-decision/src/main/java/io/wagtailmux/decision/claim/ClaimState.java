package io.wagtailmux.decision.claim;

/**
 * State of a claim.
 *
 * @author the wagtailmux developers
 */
public enum ClaimState {

	/** An instance is running the request, or was running it when it crashed. */
	CLAIMED,

	/** The request was answered; the answer is stored in the claim. */
	DONE,

	/** The request is proven not to have run; it may be claimed again. */
	RELEASED,

	/** The request may have run, and its answer is lost. */
	UNKNOWN

}
