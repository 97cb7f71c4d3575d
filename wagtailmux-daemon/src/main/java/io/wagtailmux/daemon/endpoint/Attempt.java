package io.wagtailmux.daemon.endpoint;

import java.util.Optional;

import io.wagtailmux.model.BootId;

/**
 * Progress of one call, attached to the HTTP request as a tag. The interceptors update
 * it; the caller reads it after the call to decide whether the endpoint may have run the
 * call.
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
	 * Records the incarnation of the remote process on the connection that carries the
	 * call.
	 * @param boot the incarnation that the remote process reported
	 * @throws BootChangedException if the call was allowed for another incarnation only
	 */
	void onConnected(BootId boot) throws BootChangedException {
		this.actualBoot = Optional.of(boot);
		if (this.expectedBoot.isPresent() && !this.expectedBoot.get().equals(boot)) {
			throw new BootChangedException(this.expectedBoot.get(), boot);
		}
	}

	/**
	 * Records that the request is about to be written.
	 */
	void markSent() {
		this.sent = true;
	}

	/**
	 * Returns whether any byte of the call may have been written.
	 * @return {@code false} if the endpoint cannot have received the call
	 */
	boolean sent() {
		return this.sent;
	}

	Optional<BootId> actualBoot() {
		return this.actualBoot;
	}

}
