package io.wagtailmux.decision.placement;

import java.util.Map;

import io.wagtailmux.model.AvailabilityZoneId;

/**
 * The sizes and locations of the stage results that a request reads before it starts.
 * Immutable.
 *
 * @param byZone the number of bytes in each availability zone
 * @author the wagtailmux developers
 */
public record InputBytes(Map<AvailabilityZoneId, Long> byZone) {

	/** A request without stage results. */
	public static final InputBytes NONE = new InputBytes(Map.of());

	/**
	 * Creates an immutable copy.
	 */
	public InputBytes {
		byZone = Map.copyOf(byZone);
	}

	/**
	 * Returns the number of bytes that have to be transferred between zones.
	 * @param zone the availability zone in which the results are read
	 * @return the bytes in all other availability zones
	 */
	public long bytesOutside(AvailabilityZoneId zone) {
		return this.byZone.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(zone))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

}
