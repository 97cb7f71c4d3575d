package io.wagtailmux.decision.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.model.InstanceId;

/**
 * Chooses the instances to which heartbeats are sent in each round.
 *
 * <p>
 * Heartbeats between all pairs of instances grow with the square of their number. So only
 * the instances that hold a duty (a task that one instance performs for all), or would
 * take it over, are contacted in every round, since others depend on them. The rest are
 * contacted in rotation. With at most twelve others all are contacted in every round. Not
 * safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class HeartbeatSchedule {

	/**
	 * An instance can send and answer this many heartbeats in each round at little cost.
	 */
	private static final int ROTATION_INSTANCES_PER_ROUND = 12;

	/** The owner of a duty, and the instance that takes the duty over if it fails. */
	private static final int INSTANCES_PER_DUTY = 2;

	private int rotationIndex;

	private List<DutyCandidate> rankedOthers = List.of();

	private Set<String> rankedDuties = Set.of();

	private Set<InstanceId> everyRound = Set.of();

	/**
	 * Returns the instances to contact in the next round and advances the rotation.
	 * @param others all other instances
	 * @param duties the names of the tasks that one instance performs for all
	 * @return the instances to contact
	 */
	public Set<InstanceId> nextRound(List<DutyCandidate> others, Set<String> duties) {
		Set<InstanceId> contacted = new LinkedHashSet<>(contactedEveryRound(others, duties));
		List<InstanceId> rest = new ArrayList<>(others.stream().map(DutyCandidate::id).toList());
		rest.removeAll(contacted);
		rest.sort(Comparator.comparing(InstanceId::value));
		int count = Math.min(ROTATION_INSTANCES_PER_ROUND, rest.size());
		for (int index = 0; index < count; index++) {
			contacted.add(rest.get((this.rotationIndex + index) % rest.size()));
		}
		this.rotationIndex = rest.isEmpty() ? 0 : (this.rotationIndex + count) % rest.size();
		return contacted;
	}

	/**
	 * Returns the instances that are contacted in every round.
	 * @param others all other instances
	 * @param duties the names of the tasks that one instance performs for all
	 * @return for each duty, the two of the others that rank first for it, which are its
	 * owner and the successor unless this instance is one of them; all of the others if
	 * there are at most twelve
	 */
	public Set<InstanceId> contactedEveryRound(List<DutyCandidate> others, Set<String> duties) {
		if (!others.equals(this.rankedOthers) || !duties.equals(this.rankedDuties)) {
			this.rankedOthers = List.copyOf(others);
			this.rankedDuties = Set.copyOf(duties);
			this.everyRound = (others.size() <= ROTATION_INSTANCES_PER_ROUND) ? ids(others)
					: ownersAndSuccessors(others, duties);
		}
		return this.everyRound;
	}

	/**
	 * Returns how long an instance that is contacted in rotation may stay silent before
	 * it counts as failed.
	 * @param others the number of other instances
	 * @param everyRoundLimit the limit for an instance that is contacted in every round
	 * @param interval the time between two rounds
	 * @return the limit, which is longer than that for every round by the time of two
	 * rotations
	 */
	public static Duration rotationSilenceLimit(int others, Duration everyRoundLimit, Duration interval) {
		int rounds = (others + ROTATION_INSTANCES_PER_ROUND - 1) / ROTATION_INSTANCES_PER_ROUND;
		return everyRoundLimit.plus(interval.multipliedBy(2L * Math.max(0, rounds - 1)));
	}

	private static Set<InstanceId> ids(List<DutyCandidate> candidates) {
		return candidates.stream().map(DutyCandidate::id).collect(Collectors.toUnmodifiableSet());
	}

	private static Set<InstanceId> ownersAndSuccessors(List<DutyCandidate> others, Set<String> duties) {
		return duties.stream()
			.flatMap((duty) -> DutyCandidate.first(others, duty, INSTANCES_PER_DUTY).stream())
			.map(DutyCandidate::id)
			.collect(Collectors.toUnmodifiableSet());
	}

}
