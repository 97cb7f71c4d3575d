package io.wagtailmux.decision.poison;

/**
 * Whether a request may be sent to an endpoint, judged by the parts of its prompt.
 *
 * @author the wagtailmux developers
 */
public enum PoisonVerdict {

	/** The request may be sent. */
	ALLOWED,

	/** A part is about to be refused unless it proves sound shortly. */
	SUSPECTED,

	/** A part crashes endpoints; sending the request again does not help. */
	REFUSED

}
