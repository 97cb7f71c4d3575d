package io.wagtailmux.decision.reach;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against instances that are cut off and all ask the same other one, or one that
 * refuses.
 */
class RelayChoiceTests {

	private static final Duration NOW = Duration.ofSeconds(100);

	private static final AvailabilityZoneId NORTH = new AvailabilityZoneId("north");

	private static final AvailabilityZoneId SOUTH = new AvailabilityZoneId("south");

	private final RelayChoice choice = new RelayChoice(new SplittableRandom(1));

	private final List<RelayChoice.Candidate> candidates = List.of(candidate("north-1", NORTH, 10),
			candidate("north-2", NORTH, 10), candidate("south-1", SOUTH, 10), candidate("south-2", SOUTH, 40));

	@Test
	void instancesOfNearZonesComeFirst() {
		assertThat(IntStream.range(0, 50).mapToObj((index) -> choose(Set.of(), NORTH)))
			.allMatch((chosen) -> chosen.orElseThrow().value().startsWith("north"));
	}

	@Test
	void othersAreAskedWhenThoseOfNearZonesRefuseOrWereTried() {
		this.choice.recordRefused(new InstanceId("north-1"), NOW);
		assertThat(choose(Set.of(new InstanceId("north-2")), NORTH).orElseThrow().value()).startsWith("south");
	}

	@Test
	void aRefusalIsForgottenAfterASecond() {
		this.candidates.forEach((candidate) -> this.choice.recordRefused(candidate.id(), NOW));
		assertThat(choose(Set.of(), NORTH)).isEmpty();
		assertThat(this.choice.choose(this.candidates, Set.of(), Set.of(NORTH), NOW.plusSeconds(1))).isPresent();
	}

	@Test
	void noInstanceIsChosenTwiceForOneCall() {
		Set<InstanceId> all = Set.of(new InstanceId("north-1"), new InstanceId("north-2"), new InstanceId("south-1"),
				new InstanceId("south-2"));
		assertThat(choose(all, NORTH)).isEmpty();
	}

	@Test
	void callsSpreadByTheRoomOnTheLinks() {
		Map<InstanceId, Integer> open = new HashMap<>();
		for (int index = 0; index < 200; index++) {
			InstanceId chosen = choose(Set.of(), SOUTH).orElseThrow();
			this.choice.recordOpened(chosen);
			open.merge(chosen, 1, Integer::sum);
		}
		assertThat(open.get(new InstanceId("south-2"))).isBetween(120, 180);
		open.forEach((id, count) -> IntStream.range(0, count).forEach((index) -> this.choice.recordClosed(id)));
		assertThat(choose(Set.of(), SOUTH)).isPresent();
	}

	private Optional<InstanceId> choose(Set<InstanceId> tried, AvailabilityZoneId near) {
		return this.choice.choose(this.candidates, tried, Set.of(near), NOW);
	}

	private static RelayChoice.Candidate candidate(String id, AvailabilityZoneId zone, double linkMegabits) {
		return new RelayChoice.Candidate(new InstanceId(id), zone, linkMegabits);
	}

}
