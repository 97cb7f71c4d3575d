package io.wagtailmux.decision.rollout;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the completed rollout of a version whose streams begin in time but whose
 * events then come several times slower.
 */
class SlowStreamRolloutTests {

	private static final String ROUTE = "chat";

	private static final int EVENTS = 40;

	private static final Duration USUAL_GAP = Duration.ofMillis(20);

	/** One in so many requests goes to the version on trial. */
	private static final int TRIAL_INTERVAL = 20;

	@ParameterizedTest(name = "seed {0}")
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void aVersionWithSlowStreamsIsDetectedWithinTwentyOfItsRequests(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		VersionEvidence evidence = new VersionEvidence();
		int tried = 0;
		for (int stream = 1; !evidence.streams().isWorse(); stream++) {
			boolean byTried = stream % TRIAL_INTERVAL == 0;
			boolean slow = byTried && random.nextInt(3) > 0;
			evidence.recordAnswer(byTried, ROUTE, true, Duration.ofMillis(50 + random.nextInt(400)));
			record(evidence, byTried, slow ? 8 : 1, random);
			tried += byTried ? 1 : 0;
			assertThat(tried).isLessThanOrEqualTo(20);
		}
		assertThat(evidence.answers().isWorse()).isFalse();
	}

	@ParameterizedTest(name = "seed {0}")
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void aSoundVersionIsKeptWhileAllStreamsAreSlowFromLoad(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		VersionEvidence evidence = new VersionEvidence();
		int burstStart = 100 + random.nextInt(300);
		for (int stream = 0; stream < 3000; stream++) {
			boolean overloaded = stream >= burstStart && (stream / burstStart) % 2 == 1;
			boolean byTried = random.nextInt(TRIAL_INTERVAL) == 0;
			record(evidence, byTried, overloaded ? 6 : 1, random);
			assertThat(evidence.streams().isWorse()).isFalse();
		}
	}

	@ParameterizedTest(name = "{0} additional requests")
	@CsvSource({ "0.0, 0.05, 20", "0.9, 0.05, 20", "4.2, 0.05, 24", "25.0, 0.05, 45", "0.0, 0.0, 0", "3.0, 1.0, 400" })
	void theTrialGetsItsShareEvenlyAndTheAdditionalRequestsEarly(double additional, double share, int expected) {
		TrialSampler sampler = new TrialSampler(additional);
		int selected = 0;
		for (int request = 1; request <= 400; request++) {
			selected += sampler.selectsNext(share) ? 1 : 0;
			assertThat(selected).isLessThanOrEqualTo((int) Math.ceil(additional + share * request));
			assertThat((share < 1) ? selected : 0).isLessThanOrEqualTo(request / 4);
		}
		assertThat(selected).isBetween(expected, expected + 1);
	}

	@Test
	void aSlowStreamCountsBeforeItEnds() {
		VersionEvidence evidence = new VersionEvidence();
		SplittableRandom random = new SplittableRandom(1);
		for (int stream = 0; stream < 10; stream++) {
			record(evidence, false, 1, random);
		}
		assertThat(evidence.isSlow(ROUTE, new StreamPace(Duration.ofSeconds(1), 3))).isTrue();
		assertThat(evidence.isSlow(ROUTE, new StreamPace(Duration.ofMillis(60), 3))).isFalse();
	}

	@Test
	void aStreamWithoutAnEventForLongIsSlow() {
		VersionEvidence evidence = new VersionEvidence();
		SplittableRandom random = new SplittableRandom(1);
		for (int stream = 0; stream < 10; stream++) {
			record(evidence, false, 1, random);
		}
		assertThat(evidence.isSlow(ROUTE, new StreamPace(Duration.ofSeconds(2), 0))).isTrue();
	}

	/**
	 * Records a stream as the engine does: at each event, until it counts as slow.
	 */
	private static void record(VersionEvidence evidence, boolean byTried, int factor, SplittableRandom random) {
		Duration elapsed = Duration.ZERO;
		for (int event = 1; event <= EVENTS; event++) {
			elapsed = elapsed.plusNanos((long) (USUAL_GAP.toNanos() * factor * (0.5 + random.nextDouble())));
			StreamPace pace = new StreamPace(elapsed, event);
			if (evidence.isSlow(ROUTE, pace)) {
				evidence.recordSlowStream(byTried, ROUTE, pace);
				return;
			}
		}
		evidence.recordStream(byTried, ROUTE, new StreamPace(elapsed, EVENTS));
	}

}
