package io.wagtailmux.decision.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.serving.Generation;

/**
 * Chooses the availability zone in which all work of a request is to be done.
 *
 * <p>
 * It answers requests whose stages hand on large results: what crosses zones costs more
 * than a shorter queue elsewhere gains. Requests that share a part of their prompt get
 * the same zone on all instances, so that engines there keep the part.
 *
 * @author the wagtailmux developers
 */
public final class HomeZone {

	private HomeZone() {
	}

	/**
	 * Chooses the zone by weighted rendezvous hash.
	 * @param generation what is asked for
	 * @param weights how much work each zone can take; zones with none are not chosen
	 * @return the zone; nothing if no zone has a weight or no part is shared
	 */
	public static Optional<AvailabilityZoneId> choose(Generation generation, Map<AvailabilityZoneId, Integer> weights) {
		return generation.lastSharedPart()
			.flatMap((part) -> weights.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() > 0)
				.max(Comparator.comparingDouble((entry) -> score(part.id(), entry.getKey(), entry.getValue())))
				.map(Map.Entry::getKey));
	}

	private static double score(String part, AvailabilityZoneId zone, int weight) {
		return -weight / Math.log(RendezvousHash.fraction(part, zone));
	}

}
