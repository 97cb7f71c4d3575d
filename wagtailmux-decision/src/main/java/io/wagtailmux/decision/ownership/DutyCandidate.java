package io.wagtailmux.decision.ownership;

import java.util.Comparator;
import java.util.List;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.InstanceId;

/**
 * An instance that may hold duties.
 *
 * <p>
 * The owner of a duty is the candidate with the highest score. All instances that know
 * the same candidates agree on it without communication. Larger machines own more duties:
 * the owner of a pool's shard sends all its calls, which may fill the link of a small
 * machine.
 *
 * @param id the id of the instance
 * @param capacity the resources of its machine
 * @author the wagtailmux developers
 */
public record DutyCandidate(InstanceId id, InstanceCapacity capacity) {

	/**
	 * Returns the rank of this instance for a duty.
	 * @param duty the name of the duty
	 * @return the score; the candidate with the highest one owns the duty
	 */
	public double score(String duty) {
		return RendezvousHash.weightedScore(duty, this.id, this.capacity.weight());
	}

	/**
	 * Returns whether another candidate ranks higher for a duty.
	 * @param duty the name of the duty
	 * @param other the other candidate
	 * @return whether the other candidate owns the duty rather than this one
	 */
	public boolean yieldsTo(DutyCandidate other, String duty) {
		return other.score(duty) > score(duty);
	}

	/**
	 * Returns the candidates that rank first for a duty.
	 * @param candidates the candidates
	 * @param duty the name of the duty
	 * @param count the largest number to return
	 * @return the owner, then the candidates that would take over in turn
	 */
	public static List<DutyCandidate> first(List<DutyCandidate> candidates, String duty, int count) {
		return candidates.stream()
			.sorted(Comparator.comparingDouble((DutyCandidate candidate) -> candidate.score(duty)).reversed())
			.limit(count)
			.toList();
	}

}
