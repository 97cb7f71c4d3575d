package io.wagtailmux.decision.reach;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;

/**
 * Chooses the instance through which an instance that is cut off reaches an endpoint.
 *
 * <p>
 * The load that it answers: some instances, or most of an availability zone, are cut off
 * at once, and the others have links of different sizes. Of two instances drawn at random
 * the one with more room on its link is chosen, so that many that are cut off do not all
 * choose the same one. Instances in the zone of the caller's instance or of the endpoint
 * come first: through another zone the bytes cross zones twice. One that refused is left
 * out for a time. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class RelayChoice {

	/** Shorter than the time that the links of one that is cut off itself take. */
	private static final Duration REFUSAL_LIFETIME = Duration.ofSeconds(1);

	private final RandomGenerator random;

	private final Map<InstanceId, Duration> refusedAt = new HashMap<>();

	private final Map<InstanceId, Integer> open = new HashMap<>();

	/**
	 * Creates a choice without calls.
	 * @param random the source of random numbers
	 */
	public RelayChoice(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Chooses an instance.
	 * @param candidates the instances that are alive
	 * @param tried those that were asked for this call already
	 * @param near the availability zones that are preferred
	 * @param now the elapsed time
	 * @return the instance; empty if all were tried or refused lately
	 */
	public Optional<InstanceId> choose(List<Candidate> candidates, Set<InstanceId> tried, Set<AvailabilityZoneId> near,
			Duration now) {
		List<Candidate> willing = candidates.stream()
			.filter((candidate) -> !tried.contains(candidate.id()) && !refusedLately(candidate.id(), now))
			.toList();
		List<Candidate> preferred = willing.stream().filter((candidate) -> near.contains(candidate.zone())).toList();
		List<Candidate> drawn = preferred.isEmpty() ? willing : preferred;
		if (drawn.isEmpty()) {
			return Optional.empty();
		}
		Candidate one = drawn.get(this.random.nextInt(drawn.size()));
		Candidate other = drawn.get(this.random.nextInt(drawn.size()));
		return Optional.of((occupancy(one) <= occupancy(other)) ? one.id() : other.id());
	}

	/**
	 * Records that an instance refused to reach an endpoint for this one.
	 * @param id the instance
	 * @param now the elapsed time
	 */
	public void recordRefused(InstanceId id, Duration now) {
		this.refusedAt.put(id, now);
	}

	/**
	 * Records that a call through an instance began.
	 * @param id the instance
	 */
	public void recordOpened(InstanceId id) {
		this.open.merge(id, 1, Integer::sum);
	}

	/**
	 * Records that a call through an instance ended.
	 * @param id the instance
	 */
	public void recordClosed(InstanceId id) {
		this.open.computeIfPresent(id, (ignored, count) -> (count > 1) ? count - 1 : null);
	}

	private boolean refusedLately(InstanceId id, Duration now) {
		Duration at = this.refusedAt.get(id);
		return at != null && now.minus(at).compareTo(REFUSAL_LIFETIME) < 0;
	}

	private double occupancy(Candidate candidate) {
		return (this.open.getOrDefault(candidate.id(), 0) + 1) / candidate.linkMegabits();
	}

	/**
	 * Another instance.
	 *
	 * @param id its id
	 * @param zone its availability zone
	 * @param linkMegabits the bandwidth of its machine's link, in Mbit/s
	 */
	public record Candidate(InstanceId id, AvailabilityZoneId zone, double linkMegabits) {

	}

}
