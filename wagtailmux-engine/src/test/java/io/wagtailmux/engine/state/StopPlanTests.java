package io.wagtailmux.engine.state;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which requests an instance still accepts while it is stopping.
 */
class StopPlanTests {

	private final StopPlan plan = new StopPlan(Duration.ofMillis(103_000), Duration.ofMillis(107_300));

	@ParameterizedTest(name = "received at {0} ms with a deadline at {1} ms")
	@CsvSource({ "100500, 101000, false", "100500, 120000, false", "102999, 120000, false", "103000, 107300, false",
			"103000, 107301, true", "106000, 106600, false", "106000, 112000, true", "107200, 107900, true" })
	void onlyLateRequestsThatMayOutlastTheProcessAreRefused(long received, long deadline, boolean refused) {
		assertThat(this.plan.refuses(Duration.ofMillis(received), Duration.ofMillis(deadline))).isEqualTo(refused);
	}

	@ParameterizedTest(name = "at {0} ms, answer expected in {1} ms")
	@CsvSource({ "100500, 6800, false", "100500, 6801, true", "102999, 4301, false", "102999, 4302, true",
			"106900, 400, false", "106900, 401, true", "107300, 0, false", "107301, 0, true" })
	void requestsWhoseAnswerIsExpectedAfterTheEndAreRefusedAtAnyTime(long now, long expected, boolean late) {
		assertThat(this.plan.endsBefore(Duration.ofMillis(now), Duration.ofMillis(expected))).isEqualTo(late);
	}

	@ParameterizedTest(name = "at {0} ms")
	@CsvSource({ "100500, false", "107299, false", "107300, true", "107900, true" })
	void theLastAnswersAreGivenAtTheEnd(long now, boolean over) {
		assertThat(this.plan.isOver(Duration.ofMillis(now))).isEqualTo(over);
	}

}
