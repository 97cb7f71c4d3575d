package io.wagtailmux.decision.rollout;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Rollouts of a new version: the requests that a bad version receives, and its detection.
 */
class RolloutDecisionTests {

	private static final Duration USUAL = Duration.ofMillis(40);

	@ParameterizedTest(name = "exposure {0}, {1} s")
	@CsvSource({ "0.1, 20", "0.1, 6", "0.05, 60", "0.3, 12" })
	void anUndetectedBadVersionStaysBelowTheExposureLimitUntilTheDeadline(double exposureShare, int seconds) {
		RolloutPlan plan = new RolloutPlan(exposureShare, Duration.ofSeconds(seconds));
		int steps = seconds * 1000;
		double received = 0;
		for (int step = 0; step < steps; step++) {
			received += plan.takesAllRequests(Duration.ofMillis(step)) ? 1 : plan.trialShare();
		}
		assertThat(received / steps).isLessThanOrEqualTo(exposureShare);
		assertThat(plan.isComplete(Duration.ofSeconds(seconds))).isTrue();
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0.1, 0.05, 0.3 })
	void theVersionGetsAllRequestsAfterTheTrialAndBeforeCompletion(double exposureShare) {
		RolloutPlan plan = new RolloutPlan(exposureShare, Duration.ofSeconds(10));
		assertThat(plan.trialShare()).isPositive();
		assertThat(plan.takesAllRequests(Duration.ofSeconds(5))).isFalse();
		Duration takesAllAt = Duration.ZERO;
		while (!plan.takesAllRequests(takesAllAt)) {
			takesAllAt = takesAllAt.plusMillis(1);
		}
		assertThat(plan.isComplete(takesAllAt)).isFalse();
	}

	@ParameterizedTest(name = "trial {0} bad of {1}, previous versions {2} bad of {3}")
	@CsvSource({ "0, 0, 0, 0, false", "3, 10, 0, 100, false", "6, 20, 0, 400, true", "20, 50, 0, 1000, true",
			"6, 200, 5, 1000, false", "12, 200, 2, 1000, true", "10, 100, 100, 1000, false",
			"40, 100, 100, 1000, true" })
	void aVersionIsWorseIfItHasMoreBadAnswersThanByChance(long bad, long all, long othersBad, long othersAll,
			boolean expected) {
		VersionCounts tried = new VersionCounts(all - bad, bad);
		VersionCounts others = new VersionCounts(othersAll - othersBad, othersBad);
		assertThat(VersionEvaluation.isWorse(tried, others)).isEqualTo(expected);
	}

	@ParameterizedTest(name = "seed {0}")
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void aSoundVersionIsNotFoundWorseByChance(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		VersionCounts tried = VersionCounts.NONE;
		VersionCounts others = VersionCounts.NONE;
		for (int answer = 0; answer < 4000; answer++) {
			boolean good = random.nextDouble() >= 0.02;
			if (random.nextInt(20) == 0) {
				tried = tried.withAnswer(good);
			}
			else {
				others = others.withAnswer(good);
			}
			assertThat(VersionEvaluation.isWorse(tried, others)).isFalse();
		}
	}

	@ParameterizedTest(name = "seed {0}")
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void aVersionThatIsSlowOnOneRouteOnlyIsDetectedBeforeFiftyBadAnswers(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		VersionEvidence evidence = new VersionEvidence();
		for (int answer = 0; answer < 400; answer++) {
			evidence.recordAnswer(false, route(random), true, spread(USUAL, random));
		}
		while (!VersionEvaluation.isWorse(evidence.answers().tried(), evidence.answers().others())) {
			String route = route(random);
			Duration usual = route.equals("slow") ? USUAL.multipliedBy(5) : USUAL;
			evidence.recordAnswer(true, route, true, spread(usual, random));
			assertThat(evidence.answers().tried().bad()).isLessThan(50);
		}
	}

	@Test
	void abandonedCallsCountOnlyIfTheyLastedTooLong() {
		VersionEvidence evidence = new VersionEvidence();
		evidence.recordAbandonedCall(true, "read", Duration.ofSeconds(9));
		for (int answer = 0; answer < 10; answer++) {
			evidence.recordAnswer(false, "read", true, USUAL);
		}
		evidence.recordAbandonedCall(true, "read", USUAL);
		assertThat(evidence.answers().tried()).isEqualTo(VersionCounts.NONE);
		evidence.recordAbandonedCall(true, "read", Duration.ofSeconds(9));
		assertThat(evidence.answers().tried()).isEqualTo(new VersionCounts(0, 1));
	}

	private static String route(SplittableRandom random) {
		return (random.nextInt(8) == 0) ? "slow" : "quick";
	}

	private static Duration spread(Duration usual, SplittableRandom random) {
		return Duration.ofNanos((long) (usual.toNanos() * (0.7 + 0.6 * random.nextDouble())));
	}

}
