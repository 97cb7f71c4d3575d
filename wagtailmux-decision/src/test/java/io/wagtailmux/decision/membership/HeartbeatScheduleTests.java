package io.wagtailmux.decision.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Heartbeat schedules in deployments of up to four hundred instances.
 */
class HeartbeatScheduleTests {

	private static final Duration EVERY_ROUND_LIMIT = Duration.ofMillis(1600);

	private static final Duration INTERVAL = Duration.ofMillis(500);

	private static final Set<String> DUTIES = Set.of("intake", "line", "roster");

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 5, 8, 12 })
	void fewInstancesAreAllContactedInEveryRound(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<DutyCandidate> others = others(count);
		for (int round = 0; round < 3; round++) {
			assertThat(schedule.nextRound(others, DUTIES)).containsExactlyInAnyOrderElementsOf(ids(others));
		}
		assertThat(schedule.contactedEveryRound(others, DUTIES)).containsExactlyInAnyOrderElementsOf(ids(others));
	}

	@ParameterizedTest
	@ValueSource(ints = { 29, 57, 76, 399 })
	void manyInstancesAreAllContactedWithABoundedNumberPerRound(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<DutyCandidate> others = others(count);
		Set<InstanceId> contacted = new HashSet<>();
		int rounds = (count + 11) / 12;
		for (int round = 0; round < rounds; round++) {
			Set<InstanceId> inRound = schedule.nextRound(others, DUTIES);
			assertThat(inRound).hasSizeLessThanOrEqualTo(12 + 2 * DUTIES.size());
			contacted.addAll(inRound);
		}
		assertThat(contacted).containsExactlyInAnyOrderElementsOf(ids(others));
	}

	@ParameterizedTest
	@ValueSource(ints = { 29, 76, 399 })
	void ownersOfDutiesAreContactedInEveryRound(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<DutyCandidate> others = others(count);
		for (String duty : DUTIES) {
			InstanceId owner = others.stream()
				.max(Comparator.comparingDouble((other) -> other.score(duty)))
				.orElseThrow()
				.id();
			for (int round = 0; round < 5; round++) {
				assertThat(schedule.nextRound(others, DUTIES)).contains(owner);
			}
			assertThat(schedule.contactedEveryRound(others, DUTIES)).contains(owner);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 29, 76, 399 })
	void anInstanceThatAnswersInRotationStaysBelowItsSilenceLimit(int count) {
		HeartbeatSchedule schedule = new HeartbeatSchedule();
		List<DutyCandidate> others = others(count);
		Set<InstanceId> everyRound = schedule.contactedEveryRound(others, DUTIES);
		Duration rotationLimit = HeartbeatSchedule.rotationSilenceLimit(count, EVERY_ROUND_LIMIT, INTERVAL);
		int[] lastAnswerRound = new int[count];
		for (int round = 1; round < 200; round++) {
			Set<InstanceId> contacted = schedule.nextRound(others, DUTIES);
			for (int index = 0; index < count; index++) {
				Duration silent = INTERVAL.multipliedBy(round - lastAnswerRound[index]);
				assertThat(silent)
					.isLessThan(everyRound.contains(others.get(index).id()) ? EVERY_ROUND_LIMIT : rotationLimit);
				lastAnswerRound[index] = contacted.contains(others.get(index).id()) ? round : lastAnswerRound[index];
			}
		}
	}

	private static List<DutyCandidate> others(int count) {
		return IntStream.range(0, count)
			.mapToObj((number) -> new DutyCandidate(new InstanceId("instance-" + number),
					new InstanceCapacity(1 + number % 3, 100)))
			.toList();
	}

	private static List<InstanceId> ids(List<DutyCandidate> candidates) {
		return candidates.stream().map(DutyCandidate::id).toList();
	}

}
