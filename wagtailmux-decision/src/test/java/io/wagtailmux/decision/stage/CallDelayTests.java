package io.wagtailmux.decision.stage;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallDelay}. Load: calls of 370 ms that take 740 ms while the link of
 * their sender is full.
 */
class CallDelayTests {

	private static final Duration EXPECTED = Duration.ofMillis(370);

	private final CallDelay delay = new CallDelay();

	@Test
	void thereIsNoneBeforeTheFirstCallAndForCallsInTime() {
		assertThat(this.delay.current(Duration.ofSeconds(5))).isZero();
		this.delay.onCallEnded(Duration.ofMillis(360), EXPECTED, Duration.ofSeconds(5));
		assertThat(this.delay.current(Duration.ofSeconds(5))).isZero();
	}

	@Test
	void theLargestOfTheRecentPastCountsAndHalvesWithEachSecond() {
		this.delay.onCallEnded(Duration.ofMillis(770), EXPECTED, Duration.ofSeconds(5));
		this.delay.onCallEnded(Duration.ofMillis(400), EXPECTED, Duration.ofSeconds(5));
		assertThat(this.delay.current(Duration.ofSeconds(5))).isEqualTo(Duration.ofMillis(400));
		assertThat(this.delay.current(Duration.ofSeconds(7))).isEqualTo(Duration.ofMillis(100));
		this.delay.onCallEnded(Duration.ofMillis(570), EXPECTED, Duration.ofSeconds(7));
		assertThat(this.delay.current(Duration.ofSeconds(7))).isEqualTo(Duration.ofMillis(200));
	}

	@Test
	void oneCallDoesNotDelayOffersForLong() {
		this.delay.onCallEnded(Duration.ofSeconds(20), EXPECTED, Duration.ofSeconds(30));
		assertThat(this.delay.current(Duration.ofSeconds(30))).isEqualTo(Duration.ofSeconds(1));
	}

}
