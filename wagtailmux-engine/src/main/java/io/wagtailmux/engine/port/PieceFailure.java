package io.wagtailmux.engine.port;

/**
 * Why a piece was not made.
 *
 * @author the wagtailmux developers
 */
public enum PieceFailure {

	/** Its time was over before it was begun. */
	LATE(false),

	/** A result that it needs is not kept any more. */
	INPUT_GONE(false),

	/** There was no room for its result. */
	NO_ROOM(true),

	/** The endpoint failed. */
	ERROR(true),

	/** No endpoint, or no instance that owns the pool, could be reached in time. */
	UNREACHABLE(false);

	private final boolean retryable;

	PieceFailure(boolean retryable) {
		this.retryable = retryable;
	}

	/**
	 * Tells whether another endpoint may do better with the same inputs.
	 * @return whether the piece is tried again
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
