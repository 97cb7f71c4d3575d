package io.wagtailmux.decision.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which instances are asked, from the smallest deployment to four hundred.
 */
class HeartbeatScheduleTests {

	private static final Duration ASKED = Duration.ofMillis(1600);

	private static final Duration ROUND = Duration.ofMillis(500);

	private static final Set<String> DUTIES = Set.of("intake", "line", "roster");

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 5, 8, 12 })
	void withFewInstancesEverybodyIsAskedEachTime(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<InstanceId> others = others(count);
		for (int round = 0; round < 3; round++) {
			assertThat(schedule.nextRound(others, DUTIES)).containsExactlyInAnyOrderElementsOf(others);
		}
		assertThat(schedule.contactedEveryRound(others, DUTIES)).containsExactlyInAnyOrderElementsOf(others);
	}

	@ParameterizedTest
	@ValueSource(ints = { 29, 57, 76, 399 })
	void withManyTheNumberAskedStaysFlatAndNobodyIsLeftOut(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<InstanceId> others = others(count);
		Set<InstanceId> asked = new HashSet<>();
		int rounds = (count + 11) / 12;
		for (int round = 0; round < rounds; round++) {
			Set<InstanceId> now = schedule.nextRound(others, DUTIES);
			assertThat(now).hasSizeLessThanOrEqualTo(12 + 2 * DUTIES.size());
			asked.addAll(now);
		}
		assertThat(asked).containsExactlyInAnyOrderElementsOf(others);
	}

	@ParameterizedTest
	@ValueSource(ints = { 29, 76, 399 })
	void ownersAreAskedEachTimeAndMissedSoon(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<InstanceId> others = others(count);
		for (String duty : DUTIES) {
			InstanceId owner = others.stream()
				.max((one, other) -> Integer.compare(RendezvousHash.of(duty, one), RendezvousHash.of(duty, other)))
				.orElseThrow();
			for (int round = 0; round < 5; round++) {
				assertThat(schedule.nextRound(others, DUTIES)).contains(owner);
			}
			assertThat(schedule.contactedEveryRound(others, DUTIES)).contains(owner);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 29, 76, 399 })
	void anInstanceThatAnswersInTurnIsNeverTakenForSilent(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<InstanceId> others = others(count);
		Set<InstanceId> always = schedule.contactedEveryRound(others, DUTIES);
		Duration inTurn = HeartbeatSchedule.rotationSilenceLimit(count, ASKED, ROUND);
		int[] answeredIn = new int[count];
		for (int round = 1; round < 200; round++) {
			Set<InstanceId> asked = schedule.nextRound(others, DUTIES);
			for (int index = 0; index < count; index++) {
				Duration silent = ROUND.multipliedBy(round - answeredIn[index]);
				assertThat(silent).isLessThan(always.contains(others.get(index)) ? ASKED : inTurn);
				answeredIn[index] = asked.contains(others.get(index)) ? round : answeredIn[index];
			}
		}
	}

	private static List<InstanceId> others(int count) {
		return IntStream.range(0, count).mapToObj((number) -> new InstanceId("instance-" + number)).toList();
	}

}
