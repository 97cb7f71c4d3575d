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
 * The leases on slots as one instance sees and holds them.
 *
 * <p>
 * No two clocks are compared: a holder counts its lease from when it began to renew it;
 * others count from when they first saw the record's present version, and wait a margin
 * longer. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class SlotLeases {

	/** How long a lease holds after its renewal began. */
	public static final Duration DURATION = Duration.ofSeconds(8);

	private static final Duration MARGIN = Duration.ofSeconds(1);

	private final Map<Integer, Sighting> sightings = new HashMap<>();

	private final Map<Integer, HeldSlot> held = new TreeMap<>();

	private final InstanceId instance;

	private final int slots;

	/**
	 * Creates the view of an instance that holds nothing.
	 * @param instance the instance
	 * @param slots the number of slots
	 */
	public SlotLeases(InstanceId instance, int slots) {
		this.instance = instance;
		this.slots = slots;
	}

	/**
	 * Takes the records as they were read and decides what to do.
	 * @param records the records of the leases that exist
	 * @param instances the number of live instances, this one included
	 * @param now the elapsed time after the read
	 * @return the plan
	 */
	public LeasePlan plan(List<LeaseRecord> records, int instances, Duration now) {
		Map<Integer, LeaseRecord> seen = new TreeMap<>();
		for (int slot = 0; slot < this.slots; slot++) {
			seen.put(slot, new LeaseRecord(slot, 0, new LeaseValue("", "")));
		}
		records.forEach((record) -> seen.put(record.slot(), record));
		seen.values().forEach((record) -> sight(record, now));
		dropLost(seen);
		int target = (this.slots + instances - 1) / Math.max(1, instances);
		List<LeaseRecord> mine = this.held.keySet().stream().map(seen::get).toList();
		List<LeaseRecord> renew = mine.subList(0, Math.min(target, mine.size()));
		List<LeaseRecord> release = mine.subList(renew.size(), mine.size());
		List<LeaseRecord> take = new ArrayList<>();
		for (LeaseRecord record : fromOwnStart(seen)) {
			if (renew.size() + take.size() < target && free(record, now)) {
				take.add(record);
			}
		}
		return new LeasePlan(List.copyOf(renew), take, List.copyOf(release));
	}

	/**
	 * Takes note of a lease that was committed.
	 * @param slot the slot
	 * @param version the record's version after the write
	 * @param began when the write began, as elapsed time
	 * @param fresh whether the slot never had a holder before
	 */
	public void onCommitted(int slot, long version, Duration began, boolean fresh) {
		HeldSlot before = this.held.get(slot);
		Duration since = (before != null) ? before.heldSince() : began;
		boolean first = (before != null) ? before.firstHolder() : fresh;
		this.held.put(slot, new HeldSlot(version, began.plus(DURATION), since, first));
	}

	/**
	 * Takes note of a lease that is not held any more.
	 * @param slot the slot
	 */
	public void onLost(int slot) {
		this.held.remove(slot);
	}

	/**
	 * Returns the leases that are held, as far as this instance knows.
	 * @return an immutable copy
	 */
	public HeldSlots held() {
		return new HeldSlots(this.held);
	}

	private void sight(LeaseRecord record, Duration now) {
		Sighting sighting = this.sightings.get(record.slot());
		if (sighting == null || sighting.version != record.version()) {
			this.sightings.put(record.slot(), new Sighting(record.version(), now));
		}
	}

	private void dropLost(Map<Integer, LeaseRecord> seen) {
		this.held.keySet().removeIf((slot) -> {
			boolean mine = seen.get(slot).value().holder().equals(this.instance.value());
			return !mine && seen.get(slot).version() >= this.held.get(slot).version();
		});
	}

	private boolean free(LeaseRecord record, Duration now) {
		if (this.held.containsKey(record.slot())) {
			return false;
		}
		Duration unchanged = now.minus(this.sightings.get(record.slot()).since);
		return record.value().released() || unchanged.compareTo(DURATION.plus(MARGIN)) > 0;
	}

	// Instances that look for free slots at the same time start at different ones.
	private List<LeaseRecord> fromOwnStart(Map<Integer, LeaseRecord> seen) {
		List<LeaseRecord> order = new ArrayList<>(seen.values());
		Collections.rotate(order, Math.floorMod(this.instance.hashCode(), this.slots));
		return order;
	}

	private record Sighting(long version, Duration since) {

	}

}
