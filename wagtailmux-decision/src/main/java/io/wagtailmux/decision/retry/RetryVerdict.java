package io.wagtailmux.decision.retry;

/**
 * What to do after a failed attempt.
 *
 * @author the wagtailmux developers
 */
public enum RetryVerdict {

	/** Try another endpoint. */
	RETRY,

	/** Give up: the stage may have run and must not run again. */
	NOT_REPEATABLE,

	/** Give up: the budget of repeats is spent. */
	BUDGET_SPENT,

	/** Give up: the deadline cannot be met any more. */
	TOO_LATE,

	/** Give up: as many attempts were made as one stage may have. */
	ATTEMPTS_SPENT;

	/**
	 * Tells whether the stage is tried again.
	 * @return whether this is {@link #RETRY}
	 */
	public boolean isRetry() {
		return this == RETRY;
	}

}
