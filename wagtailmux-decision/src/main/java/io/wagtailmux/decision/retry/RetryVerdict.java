package io.wagtailmux.decision.retry;

/**
 * Decision on a failed attempt: a retry, or the reason against one.
 *
 * @author the wagtailmux developers
 */
public enum RetryVerdict {

	/** The stage is retried, preferably at another endpoint. */
	RETRY,

	/** No retry: the stage may have run and is not idempotent. */
	NOT_REPEATABLE,

	/** No retry: the retry budget is used up. */
	BUDGET_SPENT,

	/** No retry: another attempt is not expected to end in time. */
	TOO_LATE,

	/** No retry: the maximum number of attempts of a stage has been made. */
	ATTEMPTS_SPENT;

	/**
	 * Returns whether the stage is retried.
	 * @return whether this is {@link #RETRY}
	 */
	public boolean isRetry() {
		return this == RETRY;
	}

}
