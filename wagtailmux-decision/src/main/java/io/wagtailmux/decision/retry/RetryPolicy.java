package io.wagtailmux.decision.retry;

import java.time.Duration;

import io.wagtailmux.decision.CallOutcome;

/**
 * Decides whether a failed attempt is repeated.
 *
 * <p>
 * A stage that is not idempotent is repeated only if it is proven that the attempt did
 * not run. Repeats that follow such proof cost the back ends nothing and are not taken
 * from the budget. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class RetryPolicy {

	private static final int MOST_ATTEMPTS = 4;

	private static final int MOST_UNSENT_ATTEMPTS = 16;

	private final RetryBudget budget = new RetryBudget();

	/**
	 * Takes note of a first attempt.
	 * @param now the elapsed time
	 */
	public void recordFirstAttempt(Duration now) {
		this.budget.recordFirstCall(now);
	}

	/**
	 * Decides after a failed attempt.
	 * @param outcome how the attempt ended
	 * @param idempotent whether the stage may run more than once
	 * @param attempts the attempts made so far, this one included
	 * @param left the time until the latest useful end of the stage
	 * @param expectedServiceTime how long another attempt is expected to take
	 * @return the verdict
	 */
	public RetryVerdict decide(CallOutcome outcome, boolean idempotent, int attempts, Duration left,
			Duration expectedServiceTime) {
		if (!idempotent && !outcome.provenNotRun()) {
			return RetryVerdict.NOT_REPEATABLE;
		}
		if (attempts >= (outcome.provenNotRun() ? MOST_UNSENT_ATTEMPTS : MOST_ATTEMPTS)) {
			return RetryVerdict.ATTEMPTS_SPENT;
		}
		if (left.compareTo(expectedServiceTime) < 0) {
			return RetryVerdict.TOO_LATE;
		}
		boolean free = outcome == CallOutcome.NOT_SENT;
		return (free || this.budget.trySpend()) ? RetryVerdict.RETRY : RetryVerdict.BUDGET_SPENT;
	}

}
