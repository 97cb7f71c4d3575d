package io.wagtailmux.daemon.traffic;

import io.wagtailmux.decision.Refusal;

/**
 * Thrown when a ticket is refused.
 *
 * @author the wagtailmux developers
 */
final class RefusedException extends Exception {

	private final transient Refusal refusal;

	RefusedException(Refusal refusal) {
		super(refusal.detail());
		this.refusal = refusal;
	}

	Refusal refusal() {
		return this.refusal;
	}

}
