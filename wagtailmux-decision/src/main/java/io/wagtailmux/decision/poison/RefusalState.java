package io.wagtailmux.decision.poison;

/**
 * What became of a refusal of prompt parts.
 *
 * @author the wagtailmux developers
 */
public enum RefusalState {

	/** Requests with the parts are refused. */
	REFUSED,

	/** The operator lifted the refusal; a single further end restores it. */
	LIFTED,

	/** A request with the parts was answered whole, so they do not crash endpoints. */
	CLEARED

}
