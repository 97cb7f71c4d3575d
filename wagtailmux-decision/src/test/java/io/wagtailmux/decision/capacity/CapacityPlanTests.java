package io.wagtailmux.decision.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.CapacityRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CapacityPlan}: each row replays a load with simple arithmetic and
 * compares what callers lack, and what is paid, with constant numbers and with a number
 * in proportion to the last second.
 */
class CapacityPlanTests {

	private static final Duration BOOT = Duration.ofSeconds(8);

	private static final CapacityRange RANGE = new CapacityRange(4, 24, BOOT);

	private static final int SLOTS = 10;

	private static final int SECONDS = 120;

	private static final List<AvailabilityZoneId> ZONES = Stream.of("zone-a", "zone-b", "zone-c", "zone-d")
		.map(AvailabilityZoneId::new)
		.toList();

	private static Stream<Arguments> loads() {
		DoubleUnaryOperator wave = (second) -> 250 + 150 * Math.sin(second / 11 * 2 * Math.PI);
		DoubleUnaryOperator slowWave = (second) -> 250 + 150 * Math.sin(second / 50 * 2 * Math.PI);
		DoubleUnaryOperator step = (second) -> (second < 40) ? 60 : 300;
		DoubleUnaryOperator burst = (second) -> (second > 40 && second < 46) ? 350 : 90;
		DoubleUnaryOperator flat = (second) -> 120;
		return Stream.of(Arguments.of("wave", wave), Arguments.of("slow wave", slowWave), Arguments.of("step", step),
				Arguments.of("burst", burst), Arguments.of("flat", flat));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("loads")
	void callersLackNoMoreThanInProportionAndItCostsLessThanTheMaximum(String name, DoubleUnaryOperator places) {
		Outcome planned = replay(places, new CapacityPlan(new PoolId("engine"), RANGE), Integer.MAX_VALUE);
		Outcome proportional = replayProportional(places);
		assertThat(planned.lackingPlaceSeconds()).isLessThanOrEqualTo(proportional.lackingPlaceSeconds());
		assertThat(planned.endpointSeconds()).isLessThan(0.9 * RANGE.maximum() * ZONES.size() * SECONDS);
		assertThat(planned.changes()).isLessThanOrEqualTo((int) (2 * SECONDS / BOOT.toSeconds()));
	}

	@Test
	void aWaveIsServedWithoutLack() {
		Outcome outcome = replay((second) -> 250 + 100 * Math.sin(second / 11 * 2 * Math.PI),
				new CapacityPlan(new PoolId("engine"), RANGE), Integer.MAX_VALUE);
		assertThat(outcome.lackingPlaceSeconds()).isZero();
	}

	@Test
	void theOthersBearTheLossOfAZone() {
		Outcome outcome = replay((second) -> 300, new CapacityPlan(new PoolId("engine"), RANGE), 60);
		assertThat(outcome.lackingPlaceSeconds()).isZero();
	}

	@Test
	void anEvacuatedZoneKeepsItsEndpointsForItsReturn() {
		CapacityPlan plan = new CapacityPlan(new PoolId("engine"), RANGE);
		Map<AvailabilityZoneId, Integer> ordered = new HashMap<>();
		for (int second = 0; second < SECONDS; second++) {
			Set<AvailabilityZoneId> evacuated = (second > 30 && second < 60) ? Set.of(ZONES.get(0)) : Set.of();
			for (CapacityOrder order : plan.next(new CapacityState(300, SLOTS, present(12), evacuated),
					Duration.ofSeconds(second))) {
				plan.onAccepted(order);
				ordered.put(order.zone(), order.endpoints());
			}
			if (second == 59) {
				assertThat(ordered.getOrDefault(ZONES.get(0), 12)).isEqualTo(ordered.getOrDefault(ZONES.get(1), 12));
			}
		}
		assertThat(ordered.getOrDefault(ZONES.get(0), 12)).isGreaterThanOrEqualTo(10);
	}

	@Test
	void nothingIsOrderedBeforeTheFirstRequest() {
		CapacityPlan plan = new CapacityPlan(new PoolId("engine"), RANGE);
		for (int second = 0; second < SECONDS; second++) {
			assertThat(plan.next(new CapacityState(0, SLOTS, present(12), Set.of()), Duration.ofSeconds(second)))
				.isEmpty();
		}
	}

	@Test
	void anOrderThatIsNotAcceptedIsRepeated() {
		CapacityPlan plan = new CapacityPlan(new PoolId("engine"), RANGE);
		CapacityState state = new CapacityState(300, SLOTS, present(4), Set.of());
		List<CapacityOrder> first = plan.next(state, Duration.ZERO);
		assertThat(first).hasSize(ZONES.size());
		assertThat(plan.next(state, Duration.ofMillis(500))).isEmpty();
		assertThat(plan.next(state, Duration.ofMillis(1000))).isEqualTo(first);
	}

	/** Endpoints register one after the other when the whole system starts. */
	@Test
	void aZoneWhoseEndpointsWereNotAllRegisteredAtFirstIsLoweredAsWell() {
		CapacityPlan plan = new CapacityPlan(new PoolId("engine"), RANGE);
		Set<AvailabilityZoneId> lowered = new HashSet<>();
		for (int second = 0; second < SECONDS; second++) {
			Map<AvailabilityZoneId, Integer> present = present(12);
			present.put(ZONES.get(0), (second == 0) ? 4 : 12);
			plan.next(new CapacityState(10, SLOTS, present, Set.of()), Duration.ofSeconds(second))
				.forEach((order) -> lowered.add(order.zone()));
		}
		assertThat(lowered).containsExactlyInAnyOrderElementsOf(ZONES);
	}

	private static Map<AvailabilityZoneId, Integer> present(int perZone) {
		Map<AvailabilityZoneId, Integer> present = new HashMap<>();
		ZONES.forEach((zone) -> present.put(zone, perZone));
		return present;
	}

	private static Outcome replay(DoubleUnaryOperator places, CapacityPlan plan, int lossAt) {
		Pool pool = new Pool(lossAt);
		for (int second = 0; second < SECONDS; second++) {
			pool.step(second, places.applyAsDouble(second));
			CapacityState state = new CapacityState(places.applyAsDouble(second), SLOTS, pool.present(second),
					Set.of());
			for (CapacityOrder order : plan.next(state, Duration.ofSeconds(second))) {
				pool.order(order.zone(), order.endpoints(), second);
				plan.onAccepted(order);
			}
		}
		return pool.outcome();
	}

	private static Outcome replayProportional(DoubleUnaryOperator places) {
		Pool pool = new Pool(Integer.MAX_VALUE);
		for (int second = 0; second < SECONDS; second++) {
			double needed = places.applyAsDouble(second);
			pool.step(second, needed);
			int number = (int) Math.ceil(needed / SLOTS / ZONES.size());
			for (AvailabilityZoneId zone : ZONES) {
				pool.order(zone, Math.max(RANGE.minimum(), Math.min(RANGE.maximum(), number)), second);
			}
		}
		return pool.outcome();
	}

	/**
	 * Endpoints of a pool, which serve a boot time after their order and leave at once.
	 */
	private static final class Pool {

		private static final int AT_START = 12;

		private final Map<AvailabilityZoneId, Integer> ready = new HashMap<>(CapacityPlanTests.present(AT_START));

		private final Map<AvailabilityZoneId, Integer> ordered = new HashMap<>(CapacityPlanTests.present(AT_START));

		private final List<Booting> booting = new ArrayList<>();

		private final int lossAt;

		private double lacking;

		private double endpointSeconds;

		private int changes;

		Pool(int lossAt) {
			this.lossAt = lossAt;
		}

		void order(AvailabilityZoneId zone, int number, int second) {
			int before = this.ordered.put(zone, number);
			if (before == number) {
				return;
			}
			this.changes += zone.equals(ZONES.get(1)) ? 1 : 0;
			this.booting.removeIf((order) -> order.zone().equals(zone));
			if (number < this.ready.get(zone)) {
				this.ready.put(zone, number);
				return;
			}
			this.booting.add(new Booting(zone, number, second + BOOT.toSeconds()));
		}

		void step(int second, double places) {
			this.booting.stream()
				.filter((order) -> order.readyAt() <= second)
				.forEach((order) -> this.ready.put(order.zone(), order.number()));
			this.booting.removeIf((order) -> order.readyAt() <= second);
			double room = present(second).values().stream().mapToInt(Integer::intValue).sum() * (double) SLOTS;
			this.lacking += Math.max(0, places - room);
			this.endpointSeconds += this.ordered.values().stream().mapToInt(Integer::intValue).sum();
		}

		Map<AvailabilityZoneId, Integer> present(int second) {
			Map<AvailabilityZoneId, Integer> present = new HashMap<>(this.ready);
			if (second >= this.lossAt) {
				present.remove(ZONES.get(0));
			}
			return present;
		}

		Outcome outcome() {
			return new Outcome(this.lacking, this.endpointSeconds, this.changes);
		}

	}

	private record Booting(AvailabilityZoneId zone, int number, long readyAt) {

	}

	private record Outcome(double lackingPlaceSeconds, double endpointSeconds, int changes) {

	}

}
