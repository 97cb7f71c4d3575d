package io.wagtailmux.decision.reach;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an instance that does not notice that its links failed, and against one
 * that takes the failure of endpoints for that of its links.
 */
class EndpointReachTests {

	private static final Duration NOW = Duration.ofSeconds(100);

	private static final AvailabilityZoneId NORTH = new AvailabilityZoneId("north");

	private static final AvailabilityZoneId SOUTH = new AvailabilityZoneId("south");

	private final EndpointReach reach = new EndpointReach();

	@BeforeEach
	void register() {
		Map<EndpointId, AvailabilityZoneId> endpoints = new HashMap<>();
		IntStream.range(0, 16).forEach((index) -> endpoints.put(endpoint(index), (index % 2 == 0) ? SOUTH : NORTH));
		this.reach.updateEndpoints(endpoints);
	}

	@Test
	void severalEndpointsInARowInMoreThanOneZoneShowThatTheLinksFailed() {
		assertThat(this.reach.recordNotReached(endpoint(1), NORTH, NOW)).isFalse();
		assertThat(this.reach.recordNotReached(endpoint(2), SOUTH, NOW)).isFalse();
		assertThat(this.reach.recordNotReached(endpoint(3), NORTH, NOW)).isFalse();
		assertThat(this.reach.recordNotReached(endpoint(4), SOUTH, NOW)).isFalse();
		assertThat(this.reach.recordNotReached(endpoint(5), NORTH, NOW)).isTrue();
		assertThat(this.reach.cutOff()).isTrue();
		assertThat(this.reach.recordNotReached(endpoint(6), NORTH, NOW)).as("told once").isFalse();
	}

	@Test
	void oneEndpointIsNoFailureOfTheLinksHoweverOftenItFails() {
		IntStream.range(0, 20).forEach((index) -> this.reach.recordNotReached(endpoint(1), NORTH, NOW));
		assertThat(this.reach.cutOff()).isFalse();
	}

	@Test
	void aLostZoneIsNoFailureOfTheLinks() {
		IntStream.range(0, 4).forEach((index) -> this.reach.recordNotReached(endpoint(index), NORTH, NOW));
		assertThat(this.reach.cutOff()).isFalse();
	}

	@Test
	void anEndpointThatIsReachedRefutesTheFailuresBefore() {
		this.reach.recordNotReached(endpoint(1), NORTH, NOW);
		this.reach.recordNotReached(endpoint(2), SOUTH, NOW);
		this.reach.recordReached(endpoint(3));
		this.reach.recordNotReached(endpoint(4), NORTH, NOW);
		assertThat(this.reach.cutOff()).isFalse();
	}

	@Test
	void failuresFarApartAreNoFailureOfTheLinks() {
		for (int index = 0; index < 6; index++) {
			this.reach.recordNotReached(endpoint(index), (index % 2 == 0) ? NORTH : SOUTH, NOW.plusSeconds(4L * index));
		}
		assertThat(this.reach.cutOff()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "2, 2", "3, 3", "5, 5", "8, 5" })
	void withFewEndpointsAllOfThemMustFail(int endpoints, int failures) {
		this.reach.updateEndpoints(registered(endpoints));
		for (int index = 1; index <= failures; index++) {
			assertThat(this.reach.recordNotReached(endpoint(index), NORTH, NOW)).isEqualTo(index == failures);
		}
	}

	@Test
	void theLinksAreRestoredOnceTwoEndpointsAreReachedInARow() {
		cutOff();
		assertThat(this.reach.recordReached(endpoint(1))).isFalse();
		assertThat(this.reach.recordReached(endpoint(1))).as("the same one").isFalse();
		this.reach.recordNotReached(endpoint(2), SOUTH, NOW);
		assertThat(this.reach.recordReached(endpoint(1))).as("after a failure").isFalse();
		assertThat(this.reach.recordReached(endpoint(2))).isTrue();
		assertThat(this.reach.cutOff()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "399, 0", "400, 1", "2000, 1" })
	void silenceIsProbedOnceASecond(long silentMillis, int probes) {
		Duration silent = Duration.ofMillis(silentMillis);
		assertThat(this.reach.takeProbes(silent, NOW)).isEqualTo(probes);
		assertThat(this.reach.takeProbes(silent, NOW.plusMillis(900))).isZero();
		assertThat(this.reach.takeProbes(silent, NOW.plusMillis(1000))).isEqualTo(probes);
	}

	@Test
	void aFailureIsProbedAtOnceAndAgainWhileItLasts() {
		assertThat(this.reach.takeProbes(Duration.ZERO, NOW)).isZero();
		this.reach.recordNotReached(endpoint(1), NORTH, NOW);
		assertThat(this.reach.takeProbes(Duration.ZERO, NOW)).isPositive();
		assertThat(this.reach.takeProbes(Duration.ZERO, NOW.plusMillis(100))).isZero();
		assertThat(this.reach.takeProbes(Duration.ZERO, NOW.plusMillis(250))).isPositive();
		this.reach.recordReached(endpoint(2));
		assertThat(this.reach.takeProbes(Duration.ZERO, NOW.plusMillis(500))).isZero();
	}

	/**
	 * Guards against an instance with few requests whose connections hang: its callers
	 * have to be served three seconds after the links failed.
	 */
	@Test
	void anInstanceWhoseConnectionsHangNoticesItWithinThreeSeconds() {
		Duration attempt = Duration.ofMillis(700);
		Duration now = NOW;
		int probed = 0;
		while (!this.reach.cutOff()) {
			now = now.plusMillis(100);
			int probes = this.reach.takeProbes(now.minus(NOW), now);
			for (int index = 0; index < probes; index++) {
				probed++;
				this.reach.recordNotReached(endpoint(probed), (probed % 2 == 0) ? NORTH : SOUTH, now.plus(attempt));
			}
		}
		assertThat(now.plus(attempt).minus(NOW)).isLessThan(Duration.ofSeconds(3));
	}

	/**
	 * Guards against endpoints of a small deployment that end and start again, which were
	 * taken for a failure of the links.
	 */
	@Test
	void endpointsThatAreNotRegisteredAnyMoreDoNotCount() {
		this.reach.updateEndpoints(registered(3));
		this.reach.recordNotReached(endpoint(1), NORTH, NOW);
		this.reach.updateEndpoints(Map.of(endpoint(2), NORTH, endpoint(3), NORTH));
		assertThat(this.reach.recordNotReached(endpoint(2), NORTH, NOW)).isFalse();
		assertThat(this.reach.recordNotReached(endpoint(1), NORTH, NOW)).as("not registered").isFalse();
		assertThat(this.reach.recordNotReached(endpoint(3), NORTH, NOW)).isTrue();
	}

	/**
	 * Guards against a request that crashes one endpoint after the other, whose ends were
	 * taken for a failure of the links and not reported.
	 */
	@Test
	void threeEndpointsThatEndInTurnAreNoFailureOfTheLinks() {
		this.reach.recordNotReached(endpoint(1), NORTH, NOW);
		this.reach.recordNotReached(endpoint(2), SOUTH, NOW);
		assertThat(this.reach.recordNotReached(endpoint(3), NORTH, NOW)).isFalse();
	}

	private static Map<EndpointId, AvailabilityZoneId> registered(int count) {
		return IntStream.rangeClosed(1, count)
			.boxed()
			.collect(Collectors.toMap(EndpointReachTests::endpoint, (number) -> NORTH));
	}

	private void cutOff() {
		this.reach.recordNotReached(endpoint(1), NORTH, NOW);
		this.reach.recordNotReached(endpoint(2), SOUTH, NOW);
		this.reach.recordNotReached(endpoint(3), NORTH, NOW);
		this.reach.recordNotReached(endpoint(4), SOUTH, NOW);
		this.reach.recordNotReached(endpoint(5), NORTH, NOW);
	}

	private static EndpointId endpoint(int number) {
		return new EndpointId("endpoint-" + number);
	}

}
