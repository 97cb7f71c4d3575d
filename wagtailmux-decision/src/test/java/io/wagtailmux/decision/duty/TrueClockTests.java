package io.wagtailmux.decision.duty;

import java.time.Duration;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.wagtailmux.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TrueClock}. The true time is the elapsed time plus 1,000 s.
 */
class TrueClockTests {

	private static final Duration TRUE_LESS_ELAPSED = Duration.ofSeconds(1000);

	private static final Duration STORE_LESS_ELAPSED = Duration.ofSeconds(-40);

	private final TrueClock clock = new TrueClock();

	@BeforeEach
	void tell() {
		storeAnswers(100, 106);
		for (int number = 1; number <= 4; number++) {
			this.clock.onDifference(new InstanceId("instance-" + number),
					TRUE_LESS_ELAPSED.minus(STORE_LESS_ELAPSED).plusMillis(number), reading(110, 0));
		}
	}

	@Test
	void aStepOfTheOwnWallClockMovesNothing() {
		Duration before = this.clock.trueLessElapsed(reading(120, 0));
		assertThat(before.minus(TRUE_LESS_ELAPSED).abs()).isLessThan(Duration.ofMillis(10));
		for (long step : new long[] { -5000, 5000, 20_000 }) {
			Duration after = this.clock.trueLessElapsed(reading(120, step));
			assertThat(after.minus(before).abs()).as("step %d", step).isLessThan(Duration.ofMillis(5));
		}
	}

	@Test
	void theOwnWallClockCountsUntilTheStoreHasAnswered() {
		assertThat(new TrueClock().trueLessElapsed(reading(120, 70))).isEqualTo(TRUE_LESS_ELAPSED.plusMillis(70));
	}

	@Test
	void timeThatTheMonotonicClockDoesNotCountIsMadeUpWithTheNextAnswer() {
		long suspended = 7000;
		this.clock.onStoreTime(Duration.ofMillis(200), Duration.ofMillis(206),
				Duration.ofMillis(203 + suspended).plus(STORE_LESS_ELAPSED));
		Duration offset = this.clock.trueLessElapsed(reading(210, suspended));
		assertThat(offset.minus(TRUE_LESS_ELAPSED).minusMillis(suspended).abs()).isLessThan(Duration.ofMillis(10));
	}

	@Test
	void anAnswerThatTookLongDoesNotWorsenTheEstimate() {
		Duration before = this.clock.trueLessElapsed(reading(3300, 0));
		this.clock.onStoreTime(Duration.ofMillis(300), Duration.ofMillis(3300),
				Duration.ofMillis(310).plus(STORE_LESS_ELAPSED));
		assertThat(this.clock.trueLessElapsed(reading(3300, 0))).isEqualTo(before);
	}

	@Test
	void aStoreWhoseClockStartsAnewIsFollowed() {
		this.clock.onStoreTime(Duration.ofMillis(500), Duration.ofMillis(506), Duration.ofMillis(-90_000));
		assertThat(this.clock.trueLessElapsed(reading(510, 0)).minus(TRUE_LESS_ELAPSED).abs())
			.isLessThan(Duration.ofMillis(10));
	}

	private void storeAnswers(long sentAt, long receivedAt) {
		this.clock.onStoreTime(Duration.ofMillis(sentAt), Duration.ofMillis(receivedAt),
				Duration.ofMillis((sentAt + receivedAt) / 2).plus(STORE_LESS_ELAPSED));
	}

	private static ClockReading reading(long elapsedMillis, long wallErrorMillis) {
		Duration elapsed = Duration.ofMillis(elapsedMillis);
		return new ClockReading(elapsed, elapsed.plus(TRUE_LESS_ELAPSED).plusMillis(wallErrorMillis));
	}

}
