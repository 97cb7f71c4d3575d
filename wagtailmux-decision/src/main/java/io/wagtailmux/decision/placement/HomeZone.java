package io.wagtailmux.decision.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.serving.Generation;

/**
 * Chooses the availability zone in which all stages of a request should run.
 *
 * <p>
 * Stages pass on large results, and their transfer between zones costs more time than a
 * shorter queue in another zone saves. Requests that share a part of their prompt get the
 * same zone on all instances, so that the engines there keep this part in their caches.
 *
 * @author the wagtailmux developers
 */
public final class HomeZone {

	private HomeZone() {
	}

	/**
	 * Chooses the zone by weighted rendezvous hash.
	 * @param generation the requested generation
	 * @param weights the relative capacity of each zone; a zone with zero is not chosen
	 * @return the zone, or empty if all weights are zero or the prompt has no shared part
	 */
	public static Optional<AvailabilityZoneId> choose(Generation generation, Map<AvailabilityZoneId, Integer> weights) {
		return generation.lastSharedPart()
			.flatMap((part) -> weights.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() > 0)
				.max(Comparator.comparingDouble(
						(entry) -> RendezvousHash.weightedScore(part.id(), entry.getKey(), entry.getValue())))
				.map(Map.Entry::getKey));
	}

}
