package io.wagtailmux.decision.stage;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallDelay}. Load: calls of 370 ms that take 740 ms while the link of
 * their sender is full, and calls to one slow endpoint among four.
 */
class CallDelayTests {

	private static final Duration EXPECTED = Duration.ofMillis(370);

	private final CallDelay delay = new CallDelay();

	@Test
	void thereIsNoneBeforeTheFirstCallAndForCallsInTime() {
		assertThat(this.delay.current(Duration.ofSeconds(5))).isZero();
		call(360, 5000);
		assertThat(this.delay.current(Duration.ofSeconds(5))).isZero();
	}

	@Test
	void aDelayOfAllCallsCountsUntilItIsOld() {
		call(740, 5000);
		call(750, 5010);
		call(720, 5020);
		assertThat(this.delay.current(Duration.ofMillis(5030))).isEqualTo(Duration.ofMillis(370));
		assertThat(this.delay.current(Duration.ofMillis(7000))).isZero();
	}

	/**
	 * Holding all inputs longer for one slow endpoint would fill the memory for results.
	 */
	@Test
	void aSlowEndpointAmongOthersDoesNotCount() {
		call(1850, 5000);
		call(370, 5010);
		call(370, 5020);
		call(1850, 5030);
		call(370, 5040);
		assertThat(this.delay.current(Duration.ofMillis(5050))).isZero();
	}

	@Test
	void aDelayIsBounded() {
		call(20_000, 30_000);
		assertThat(this.delay.current(Duration.ofSeconds(30))).isEqualTo(Duration.ofSeconds(1));
	}

	private void call(long tookMillis, long nowMillis) {
		this.delay.onCallEnded(Duration.ofMillis(tookMillis), EXPECTED, Duration.ofMillis(nowMillis));
	}

}
