package io.wagtailmux.engine.port;

/**
 * Reason why a piece has no result.
 *
 * @author the wagtailmux developers
 */
public enum PieceFailure {

	/** It did not or could not start in time. */
	LATE(false),

	/** More is to be done first than its request can wait for. */
	CROWDED(false),

	/** A result that it reads is no longer kept. */
	INPUT_GONE(false),

	/** The endpoint had no space for the result. */
	NO_ROOM(true),

	/** The endpoint failed. */
	ERROR(true),

	/** Its request has crashed endpoints, or may have done so. */
	HARMFUL(false),

	/** No endpoint and no owner of the pool could be reached in time. */
	UNREACHABLE(false);

	private final boolean retryable;

	PieceFailure(boolean retryable) {
		this.retryable = retryable;
	}

	/**
	 * Returns whether another endpoint may succeed with the same inputs.
	 * @return whether the piece is to be retried
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
