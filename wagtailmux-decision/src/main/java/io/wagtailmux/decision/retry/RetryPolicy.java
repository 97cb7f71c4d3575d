package io.wagtailmux.decision.retry;

import java.time.Duration;

import io.wagtailmux.decision.CallOutcome;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>
 * A stage that is not idempotent is retried only if it is proven that the attempt did not
 * run. Retries of a call that was never sent cost the endpoints nothing and are not taken
 * from the budget. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class RetryPolicy {

	private static final int MAX_ATTEMPTS = 4;

	private static final int MAX_ATTEMPTS_NOT_RUN = 16;

	private final RetryBudget budget = new RetryBudget();

	/**
	 * Records a first attempt, which adds to the retry budget.
	 * @param now the elapsed time of the instance's clock
	 */
	public void recordFirstAttempt(Duration now) {
		this.budget.recordFirstCall(now);
	}

	/**
	 * Decides whether a failed attempt is retried. A retry may take from the budget.
	 * @param outcome how the attempt ended
	 * @param idempotent whether the stage may run more than once for a request
	 * @param attempts the number of attempts so far, this one included
	 * @param remaining the time until the latest useful end of the stage
	 * @param expectedServiceTime how long another attempt is expected to take
	 * @return the verdict
	 */
	public RetryVerdict decide(CallOutcome outcome, boolean idempotent, int attempts, Duration remaining,
			Duration expectedServiceTime) {
		if (!idempotent && !outcome.provenNotRun()) {
			return RetryVerdict.NOT_REPEATABLE;
		}
		if (attempts >= (outcome.provenNotRun() ? MAX_ATTEMPTS_NOT_RUN : MAX_ATTEMPTS)) {
			return RetryVerdict.ATTEMPTS_SPENT;
		}
		if (remaining.compareTo(expectedServiceTime) < 0) {
			return RetryVerdict.TOO_LATE;
		}
		boolean withoutCost = outcome == CallOutcome.NOT_SENT;
		return (withoutCost || this.budget.trySpend()) ? RetryVerdict.RETRY : RetryVerdict.BUDGET_SPENT;
	}

}
