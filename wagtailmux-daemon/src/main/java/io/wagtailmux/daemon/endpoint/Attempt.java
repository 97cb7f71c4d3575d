package io.wagtailmux.daemon.endpoint;

import java.util.Optional;

import io.wagtailmux.model.BootId;

/**
 * The tag of a call that tells how far it got.
 *
 * @author the wagtailmux developers
 */
final class Attempt {

	private final Optional<BootId> expectedBoot;

	private volatile boolean sent;

	private volatile Optional<BootId> actualBoot = Optional.empty();

	Attempt(Optional<BootId> expectedBoot) {
		this.expectedBoot = expectedBoot;
	}

	/**
	 * Takes note of the run of the endpoint's process at the other end of the connection.
	 * @param boot the run
	 * @throws BootChangedException if the call is allowed for another run only
	 */
	void onConnected(BootId boot) throws BootChangedException {
		this.actualBoot = Optional.of(boot);
		if (this.expectedBoot.isPresent() && !this.expectedBoot.get().equals(boot)) {
			throw new BootChangedException(this.expectedBoot.get(), boot);
		}
	}

	void markSent() {
		this.sent = true;
	}

	boolean sent() {
		return this.sent;
	}

	Optional<BootId> actualBoot() {
		return this.actualBoot;
	}

}
