package io.wagtailmux.decision.estimate;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link EndpointSpeed}.
 */
class EndpointSpeedTests {

	private final EndpointSpeed speed = new EndpointSpeed();

	@Test
	void anEndpointThatStatesNothingIsAsUsual() {
		assertThat(this.speed.lasting(seconds(1))).isEmpty();
		assertThat(this.speed.present(seconds(1))).isEqualTo(1);
	}

	@Test
	void neighboursCountOnlyWhileTheirStatementIsRecent() {
		this.speed.onStated(0.7, seconds(1));
		this.speed.onStated(1.75, seconds(2));
		assertThat(this.speed.lasting(seconds(2))).hasValue(0.7);
		assertThat(this.speed.present(seconds(2))).isEqualTo(1.75);
		assertThat(this.speed.present(Duration.ofMillis(2150))).isCloseTo(1.225, within(0.001));
		assertThat(this.speed.present(seconds(4))).isCloseTo(0.7, within(0.001));
	}

	@Test
	void whatOthersHaveSeenTellsWhatLastsAndNotWhatIsNow() {
		this.speed.onHeard(4.25, seconds(1));
		this.speed.onHeard(1.7, seconds(1));
		assertThat(this.speed.lasting(seconds(1))).hasValue(1.7);
		assertThat(this.speed.present(seconds(1))).isEqualTo(1.7);
	}

	@Test
	void anEndpointThatHasBecomeSlowForGoodIsFollowed() {
		this.speed.onStated(0.7, seconds(1));
		for (int second = 2; second <= 30; second++) {
			this.speed.onStated(1.7, seconds(second));
		}
		assertThat(this.speed.lasting(seconds(30))).hasValue(1.7);
	}

	@Test
	void oldStatementsAreForgotten() {
		this.speed.onStated(1.7, seconds(1));
		assertThat(this.speed.lasting(seconds(9))).hasValue(1.7);
		assertThat(this.speed.lasting(seconds(40))).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(doubles = { -1, 0, 0.01, 11, 1e9, Double.NaN, Double.POSITIVE_INFINITY })
	void whatIsNotCredibleIsIgnored(double multiple) {
		this.speed.onStated(1.7, seconds(1));
		this.speed.onStated(multiple, seconds(1));
		this.speed.onHeard(multiple, seconds(1));
		assertThat(this.speed.present(seconds(1))).isEqualTo(1.7);
	}

	private static Duration seconds(long seconds) {
		return Duration.ofSeconds(seconds);
	}

}
