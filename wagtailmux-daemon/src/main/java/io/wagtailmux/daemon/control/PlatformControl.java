package io.wagtailmux.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.lease.HeldSlots;
import io.wagtailmux.decision.lease.LeaseValue;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.ListedInstance;
import io.wagtailmux.store.Platform;
import io.wagtailmux.store.PlatformException;

/**
 * Accesses the platform's store for the control state of the instance. The methods block
 * until the store answers and are called on the thread for platform calls only. They log
 * errors of the store and do not throw them.
 *
 * @author the wagtailmux developers
 */
final class PlatformControl {

	private static final Logger LOG = LoggerFactory.getLogger(PlatformControl.class);

	private final Platform platform;

	private final TimeSource time;

	private final InstanceId instance;

	private final String peerAddress;

	private final ProvenIncarnations provenIncarnations;

	private SlotKeeper slots;

	PlatformControl(Platform platform, TimeSource time, InstanceId instance, String peerAddress) {
		this.platform = platform;
		this.time = time;
		this.instance = instance;
		this.peerAddress = peerAddress;
		this.provenIncarnations = new ProvenIncarnations(platform.table());
	}

	/**
	 * Renews, acquires and releases slot leases as needed.
	 * @param slotCount the number of slots; later calls keep the number of the first one
	 * @param instances the number of live instances
	 */
	void maintainSlots(int slotCount, int instances) {
		if (this.slots == null) {
			this.slots = new SlotKeeper(this.platform.table(), this.time, this.instance, this.peerAddress, slotCount);
		}
		try {
			this.slots.maintain(instances);
		}
		catch (PlatformException ex) {
			LOG.warn("failed to maintain slot leases: {}", ex.getMessage());
		}
	}

	/**
	 * Returns the slot leases of this instance.
	 * @return the leases; none before the first call of {@link #maintainSlots}
	 */
	HeldSlots held() {
		return (this.slots != null) ? this.slots.held() : HeldSlots.NONE;
	}

	/**
	 * Returns the lease of each slot as last read or acquired, expired and released ones
	 * included.
	 * @return the leases by slot; empty before the first call of {@link #maintainSlots}
	 */
	Map<Integer, LeaseValue> holders() {
		return (this.slots != null) ? this.slots.holders() : Map.of();
	}

	/**
	 * Releases all slot leases.
	 */
	void releaseSlots() {
		try {
			if (this.slots != null) {
				this.slots.releaseAll();
			}
		}
		catch (PlatformException ex) {
			LOG.warn("failed to release slot leases: {}", ex.getMessage());
		}
	}

	/**
	 * Reads the platform's list of instances.
	 * @return the instances, or an empty list if the platform does not answer
	 */
	List<ListedInstance> instances() {
		try {
			return this.platform.instances().list();
		}
		catch (PlatformException ex) {
			LOG.warn("failed to list instances: {}", ex.getMessage());
			return List.of();
		}
	}

	/**
	 * Reads which incarnations of endpoints' processes are proven.
	 * @param slotNumbers the slots of the endpoints
	 * @return the incarnations by endpoint; those read so far if the table stops
	 * answering
	 */
	Map<EndpointId, BootId> provenIncarnations(Set<Integer> slotNumbers) {
		Map<EndpointId, BootId> incarnations = new HashMap<>();
		try {
			slotNumbers.forEach((slot) -> incarnations.putAll(this.provenIncarnations.read(slot)));
		}
		catch (PlatformException ex) {
			LOG.warn("failed to read proven incarnations: {}", ex.getMessage());
		}
		return incarnations;
	}

	/**
	 * Records an incarnation as proven, on condition that this instance still holds the
	 * endpoint's slot.
	 * @param slot the endpoint's slot
	 * @param endpoint the endpoint
	 * @param incarnation the proven incarnation
	 * @return whether it was recorded; {@code false} also if the store does not answer
	 */
	boolean recordProven(int slot, EndpointId endpoint, BootId incarnation) {
		try {
			return held().valid(this.time.elapsed()).contains(slot)
					&& this.provenIncarnations.record(slot, endpoint, incarnation, this.slots.heldCondition(slot));
		}
		catch (PlatformException ex) {
			LOG.warn("failed to record the proven incarnation of {}: {}", endpoint, ex.getMessage());
			return false;
		}
	}

}
