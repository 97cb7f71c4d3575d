package io.wagtailmux.model;

import java.time.Duration;

/**
 * Network link between two availability zones, with the same delay in both directions.
 *
 * @param from one of the two zones
 * @param to the other zone
 * @param oneWayDelay the time that a packet takes from one zone to the other
 * @author the wagtailmux developers
 */
public record Link(AvailabilityZoneId from, AvailabilityZoneId to, Duration oneWayDelay) {

	/**
	 * Returns whether this link connects two zones.
	 * @param one a zone
	 * @param other another zone
	 * @return whether the link connects them, in either direction
	 */
	public boolean joins(AvailabilityZoneId one, AvailabilityZoneId other) {
		boolean forward = this.from.equals(one) && this.to.equals(other);
		return forward || (this.from.equals(other) && this.to.equals(one));
	}

}
