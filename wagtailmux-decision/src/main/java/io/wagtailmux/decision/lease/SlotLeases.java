package io.wagtailmux.decision.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.wagtailmux.model.InstanceId;

/**
 * Decides which slot leases one instance renews, acquires and releases.
 *
 * <p>
 * The clocks of two instances are never compared. A holder counts the lease from the
 * moment at which it began to renew it; other instances count from the moment at which
 * they first read the current version of the record, and add a margin. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class SlotLeases {

	/** The duration of a lease, counted from the start of the write that renews it. */
	public static final Duration DURATION = Duration.ofSeconds(8);

	/** Added by other instances before they regard a lease as expired. */
	private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(1);

	private final Map<Integer, Observation> observations = new HashMap<>();

	private final Map<Integer, HeldSlot> held = new TreeMap<>();

	private final InstanceId instance;

	private final int slots;

	/**
	 * Creates the state of an instance that holds no lease.
	 * @param instance the id of this instance
	 * @param slots the number of slots, the same on all instances
	 */
	public SlotLeases(InstanceId instance, int slots) {
		this.instance = instance;
		this.slots = slots;
	}

	/**
	 * Updates the state from the records read and decides which leases to write. Each
	 * instance aims at an even share of the slots, rounded up.
	 * @param records the records found in the table; a slot without a record is free
	 * @param instances the number of live instances, this one included
	 * @param now the elapsed time after the read
	 * @return the leases to renew, acquire and release
	 */
	public LeasePlan plan(List<LeaseRecord> records, int instances, Duration now) {
		Map<Integer, LeaseRecord> recordsBySlot = new TreeMap<>();
		for (int slot = 0; slot < this.slots; slot++) {
			recordsBySlot.put(slot, new LeaseRecord(slot, 0, new LeaseValue("", "")));
		}
		records.forEach((record) -> recordsBySlot.put(record.slot(), record));
		recordsBySlot.values().forEach((record) -> observe(record, now));
		removeLost(recordsBySlot);
		int target = (this.slots + instances - 1) / Math.max(1, instances);
		List<LeaseRecord> mine = this.held.keySet().stream().map(recordsBySlot::get).toList();
		List<LeaseRecord> renew = mine.subList(0, Math.min(target, mine.size()));
		List<LeaseRecord> release = mine.subList(renew.size(), mine.size());
		List<LeaseRecord> acquire = new ArrayList<>();
		for (LeaseRecord record : rotatedByInstance(recordsBySlot)) {
			if (renew.size() + acquire.size() < target && isFree(record, now)) {
				acquire.add(record);
			}
		}
		return new LeasePlan(List.copyOf(renew), acquire, List.copyOf(release));
	}

	/**
	 * Updates the state after a write that acquired or renewed a lease.
	 * @param slot the slot
	 * @param version the version of the record after the write
	 * @param writeStartedAt when the write began, as elapsed time; the lease counts from
	 * then
	 * @param firstHolder whether the slot had no record before the write; ignored if this
	 * instance already held the lease
	 */
	public void onCommitted(int slot, long version, Duration writeStartedAt, boolean firstHolder) {
		HeldSlot before = this.held.get(slot);
		Duration since = (before != null) ? before.heldSince() : writeStartedAt;
		boolean isFirst = (before != null) ? before.firstHolder() : firstHolder;
		this.held.put(slot, new HeldSlot(version, writeStartedAt.plus(DURATION), since, isFirst));
	}

	/**
	 * Removes a lease that this instance no longer holds.
	 * @param slot the slot
	 */
	public void onLost(int slot) {
		this.held.remove(slot);
	}

	/**
	 * Returns the leases that this instance has committed and not lost or released.
	 * @return an immutable copy
	 */
	public HeldSlots held() {
		return new HeldSlots(this.held);
	}

	private void observe(LeaseRecord record, Duration now) {
		Observation observation = this.observations.get(record.slot());
		if (observation == null || observation.version != record.version()) {
			this.observations.put(record.slot(), new Observation(record.version(), now));
		}
	}

	private void removeLost(Map<Integer, LeaseRecord> recordsBySlot) {
		this.held.keySet().removeIf((slot) -> {
			boolean mine = recordsBySlot.get(slot).value().holder().equals(this.instance.value());
			return !mine && recordsBySlot.get(slot).version() >= this.held.get(slot).version();
		});
	}

	private boolean isFree(LeaseRecord record, Duration now) {
		if (this.held.containsKey(record.slot())) {
			return false;
		}
		Duration unchanged = now.minus(this.observations.get(record.slot()).since);
		return record.value().released() || unchanged.compareTo(DURATION.plus(EXPIRY_MARGIN)) > 0;
	}

	// Instances start their search at different slots, so that few write to the same one.
	private List<LeaseRecord> rotatedByInstance(Map<Integer, LeaseRecord> recordsBySlot) {
		List<LeaseRecord> order = new ArrayList<>(recordsBySlot.values());
		Collections.rotate(order, Math.floorMod(this.instance.hashCode(), this.slots));
		return order;
	}

	private record Observation(long version, Duration since) {

	}

}
