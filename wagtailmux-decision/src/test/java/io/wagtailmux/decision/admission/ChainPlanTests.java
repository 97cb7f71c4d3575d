package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ChainPlanTests {

	private static final Duration ANSWER_TIME = Duration.ofMillis(150);

	@Test
	void dependentStagesAddUpAndOthersOverlap() {
		ChainPlan plan = new ChainPlan(
				List.of(step(List.of(), 0, 300), step(List.of(), 100, 400), step(List.of(1), 50, 200)), ANSWER_TIME);
		assertThat(plan.expectedFinish()).isEqualTo(Duration.ofMillis(100 + 400 + 50 + 200 + 150));
	}

	@Test
	void theTimeFromTheStartIncludesTheWaitsOfLaterStages() {
		ChainPlan plan = new ChainPlan(List.of(step(List.of(), 500, 300), step(List.of(0), 50, 200)), ANSWER_TIME);
		assertThat(plan.timeFromStart(0)).isEqualTo(Duration.ofMillis(300 + 50 + 200 + 150));
		assertThat(plan.timeFromStart(1)).isEqualTo(Duration.ofMillis(200 + 150));
	}

	@Test
	void theMinimumTimeAfterAStageExcludesWaits() {
		ChainPlan plan = new ChainPlan(
				List.of(step(List.of(), 500, 300), step(List.of(0), 50, 200), step(List.of(0), 900, 250)), ANSWER_TIME);
		assertThat(plan.minimumTimeAfter(0)).isEqualTo(Duration.ofMillis(250 + 150));
		assertThat(plan.minimumTimeAfter(1)).isEqualTo(ANSWER_TIME);
	}

	@Test
	void theTimeLeftIsThatAfterTheUnfinishedStagesWithTheWaitsOfLaterOnes() {
		ChainPlan plan = new ChainPlan(
				List.of(step(List.of(), 500, 300), step(List.of(0), 50, 200), step(List.of(0), 900, 250)), ANSWER_TIME);
		assertThat(plan.timeLeft(Set.of())).isEqualTo(Duration.ofMillis(900 + 250 + 150));
		assertThat(plan.timeLeft(Set.of(0))).isEqualTo(ANSWER_TIME);
		assertThat(plan.timeLeft(Set.of(0, 1, 2))).isEqualTo(ANSWER_TIME);
	}

	@ParameterizedTest(name = "after {0} the first stage is early: {1}")
	@CsvSource({ "'', true", "'1', true", "'1,2', false", "'1,2,3', false" })
	void aStageFinishesEarlyUntilALongerParallelChainHasCaughtUp(String ended, boolean early) {
		ChainPlan plan = new ChainPlan(List.of(step(List.of(), 100, 250), step(List.of(), 50, 250),
				step(List.of(1), 100, 300), step(List.of(2), 100, 350)), ANSWER_TIME);
		Set<Integer> done = new HashSet<>();
		for (String stage : ended.split(",")) {
			if (!stage.isEmpty()) {
				done.add(Integer.valueOf(stage));
			}
		}
		assertThat(plan.wouldFinishEarly(0, done)).isEqualTo(early);
	}

	@ParameterizedTest
	@CsvSource({ "900, 1000, false", "1000, 1000, false", "1001, 1000, true", "60000, 6000, true" })
	void aRequestThatCannotBeAnsweredInTimeIsRefused(long finish, long remaining, boolean refused) {
		Admission admission = new Admission(new SplittableRandom(1));
		Optional<Duration> retryAfter = admission.evaluate(Duration.ofMillis(finish), Duration.ofMillis(remaining));
		assertThat(retryAfter.isPresent()).isEqualTo(refused);
	}

	@ParameterizedTest(name = "{0} ms of work, {1} ms of wait, of which {2} behind others: {3}")
	@CsvSource({ "800, 0, 0, false", "1200, 0, 0, false", "1200, 500, 500, false", "500, 300, 300, false",
			"500, 400, 400, true", "500, 400, 0, false", "500, 1400, 0, true" })
	void aRequestIsRefusedForItsTargetOnlyIfOthersThatGoFirstMakeItLate(long work, long wait, long behindOthers,
			boolean refused) {
		ExpectedWait waiting = new ExpectedWait(Duration.ofMillis(wait), Duration.ofMillis(behindOthers));
		ChainPlan plan = new ChainPlan(List.of(new ChainStep(List.of(), waiting, Duration.ofMillis(work))),
				ANSWER_TIME);
		Optional<Duration> retryAfter = new Admission(new SplittableRandom(1)).evaluate(plan, Duration.ofMillis(1000),
				Duration.ofMillis(2000));
		assertThat(retryAfter.isPresent()).isEqualTo(refused);
	}

	@Test
	void theLongestWaitOfAFirstStageLeavesTimeForWrongEstimatesOfLaterStages() {
		ChainPlan plan = new ChainPlan(List.of(step(List.of(), 500, 300), step(List.of(0), 50, 200)), ANSWER_TIME);
		assertThat(plan.longestWait(0, Duration.ofMillis(1000))).contains(Duration.ofMillis(1000 - 700 - 100));
		assertThat(plan.longestWait(0, Duration.ofMillis(700))).contains(Duration.ZERO);
		assertThat(plan.longestWait(0, Duration.ofMillis(649))).isEmpty();
	}

	@Test
	void retryTimesOfRequestsRefusedTogetherAreSpread() {
		Admission admission = new Admission(new SplittableRandom(1));
		Set<Long> times = new HashSet<>();
		for (int index = 0; index < 100; index++) {
			Duration retryAfter = admission.retryAfter(Duration.ofSeconds(1));
			assertThat(retryAfter).isBetween(Duration.ofSeconds(1), Duration.ofSeconds(2));
			times.add(retryAfter.toMillis() / 100);
		}
		assertThat(times).hasSize(10);
	}

	private static ChainStep step(List<Integer> dependencies, long waitMillis, long workMillis) {
		return new ChainStep(dependencies, ExpectedWait.of(Duration.ofMillis(waitMillis)),
				Duration.ofMillis(workMillis));
	}

}
