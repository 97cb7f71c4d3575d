package io.wagtailmux.engine.state;

import java.net.InetSocketAddress;

import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;

/**
 * Another instance, as seen by this one.
 *
 * @param id the id of the instance
 * @param address the address on which it listens for calls of peers
 * @param zone the availability zone that it runs in
 * @param capacity the resources of its machine
 * @author the wagtailmux developers
 */
public record InstancePeer(InstanceId id, InetSocketAddress address, AvailabilityZoneId zone,
		InstanceCapacity capacity) {

	/**
	 * Returns the instance as a candidate for duties.
	 * @return the candidate
	 */
	public DutyCandidate candidate() {
		return new DutyCandidate(this.id, this.capacity);
	}

}
