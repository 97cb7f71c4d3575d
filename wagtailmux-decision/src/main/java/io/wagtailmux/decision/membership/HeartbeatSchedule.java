package io.wagtailmux.decision.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.InstanceId;

/**
 * Chooses which other instances are asked in each round.
 *
 * <p>
 * Asking everybody each time grows with the square of the instances. So the instances
 * that come first for something that one instance does for all are asked in each round,
 * since others depend on them, and the rest in turn. With few instances everybody is
 * asked each time.
 *
 * @author the wagtailmux developers
 */
public final class HeartbeatSchedule {

	/** What an instance can ask and answer at little cost, in each round. */
	private static final int ASKED_IN_TURN = 12;

	/** The owner of a thing and the one that would follow it. */
	private static final int ASKED_FOR_EACH_DUTY = 2;

	private int turn;

	private List<InstanceId> rankedOthers = List.of();

	private Set<String> rankedDuties = Set.of();

	private Set<InstanceId> first = Set.of();

	/**
	 * Chooses the instances of the next round.
	 * @param others all other instances
	 * @param duties the names of what one instance does for all
	 * @return those to ask now
	 */
	public Set<InstanceId> nextRound(List<InstanceId> others, Set<String> duties) {
		Set<InstanceId> asked = new LinkedHashSet<>(contactedEveryRound(others, duties));
		List<InstanceId> rest = new ArrayList<>(others);
		rest.removeAll(asked);
		rest.sort(Comparator.comparing(InstanceId::value));
		int count = Math.min(ASKED_IN_TURN, rest.size());
		for (int index = 0; index < count; index++) {
			asked.add(rest.get((this.turn + index) % rest.size()));
		}
		this.turn = rest.isEmpty() ? 0 : (this.turn + count) % rest.size();
		return asked;
	}

	/**
	 * Returns the instances that are asked in each round.
	 * @param others all other instances
	 * @param duties the names of what one instance does for all
	 * @return those that come first, and next, for a duty; all if there are few
	 */
	public Set<InstanceId> contactedEveryRound(List<InstanceId> others, Set<String> duties) {
		if (!others.equals(this.rankedOthers) || !duties.equals(this.rankedDuties)) {
			this.rankedOthers = List.copyOf(others);
			this.rankedDuties = Set.copyOf(duties);
			this.first = (others.size() <= ASKED_IN_TURN) ? Set.copyOf(others) : first(others, duties);
		}
		return this.first;
	}

	/**
	 * Returns how long an instance that is asked in turn may be silent although it is
	 * there.
	 * @param others the number of other instances
	 * @param asked the limit for one that is asked in each round
	 * @param round the time between two rounds
	 * @return the limit: two turns more
	 */
	public static Duration rotationSilenceLimit(int others, Duration asked, Duration round) {
		int rounds = (others + ASKED_IN_TURN - 1) / ASKED_IN_TURN;
		return asked.plus(round.multipliedBy(2L * Math.max(0, rounds - 1)));
	}

	private static Set<InstanceId> first(List<InstanceId> others, Set<String> duties) {
		Set<InstanceId> first = new LinkedHashSet<>();
		for (String duty : duties) {
			others.stream()
				.sorted(Comparator.comparingInt((InstanceId other) -> RendezvousHash.of(duty, other)).reversed())
				.limit(ASKED_FOR_EACH_DUTY)
				.forEach(first::add);
		}
		return first;
	}

}
