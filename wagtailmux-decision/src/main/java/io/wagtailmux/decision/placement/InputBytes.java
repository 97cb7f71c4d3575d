package io.wagtailmux.decision.placement;

import java.util.Map;

import io.wagtailmux.model.AvailabilityZoneId;

/**
 * Where the results lie that a request reads before it begins.
 *
 * @param byZone the bytes in each availability zone
 * @author the wagtailmux developers
 */
public record InputBytes(Map<AvailabilityZoneId, Long> byZone) {

	/** No results. */
	public static final InputBytes NONE = new InputBytes(Map.of());

	/**
	 * Creates the description.
	 */
	public InputBytes {
		byZone = Map.copyOf(byZone);
	}

	/**
	 * Returns how much would have to cross zones.
	 * @param zone where it is read
	 * @return the bytes in other availability zones
	 */
	public long bytesOutside(AvailabilityZoneId zone) {
		return this.byZone.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(zone))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

}
