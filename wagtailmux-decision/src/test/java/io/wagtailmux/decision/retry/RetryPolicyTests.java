package io.wagtailmux.decision.retry;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.wagtailmux.decision.CallOutcome;

import static org.assertj.core.api.Assertions.assertThat;

class RetryPolicyTests {

	private static final Duration SERVICE = Duration.ofMillis(100);

	private static final Duration AMPLE_TIME = Duration.ofSeconds(5);

	@ParameterizedTest
	@CsvSource({ "NOT_SENT, false, RETRY", "REFUSED, false, RETRY", "FAILED, false, NOT_REPEATABLE",
			"BROKEN, false, NOT_REPEATABLE", "TIMED_OUT, false, NOT_REPEATABLE", "CROSSED, false, NOT_REPEATABLE",
			"FAILED, true, RETRY", "BROKEN, true, RETRY", "TIMED_OUT, true, RETRY", "CROSSED, true, RETRY" })
	void aStageThatIsNotIdempotentIsRetriedOnlyIfProvenNotRun(CallOutcome outcome, boolean idempotent,
			RetryVerdict verdict) {
		assertThat(new RetryPolicy().decide(outcome, idempotent, 1, AMPLE_TIME, SERVICE)).isEqualTo(verdict);
	}

	@Test
	void aRetryThatCannotEndInTimeIsNotMade() {
		assertThat(new RetryPolicy().decide(CallOutcome.FAILED, true, 1, Duration.ofMillis(99), SERVICE))
			.isEqualTo(RetryVerdict.TOO_LATE);
	}

	@Test
	void retriesToAPoolThatAlwaysFailsAreLimited() {
		RetryPolicy policy = new RetryPolicy();
		int requests = 2000;
		int calls = 0;
		for (int request = 0; request < requests; request++) {
			policy.recordFirstAttempt(Duration.ofMillis(20L * request));
			int attempt = 1;
			calls++;
			while (policy.decide(CallOutcome.FAILED, true, attempt, AMPLE_TIME, SERVICE).isRetry()) {
				attempt++;
				calls++;
			}
		}
		assertThat((double) calls / requests).isLessThanOrEqualTo(1.2);
	}

}
