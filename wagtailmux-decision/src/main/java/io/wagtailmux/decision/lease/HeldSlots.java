package io.wagtailmux.decision.lease;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The leases that an instance holds. Immutable.
 *
 * @param leases the leases by slot; a lease stays here after it has expired if the table
 * could not be reached to renew it
 * @author the wagtailmux developers
 */
public record HeldSlots(Map<Integer, HeldSlot> leases) {

	/** An instance that holds no leases. */
	public static final HeldSlots NONE = new HeldSlots(Map.of());

	/**
	 * Creates an immutable copy.
	 */
	public HeldSlots {
		leases = Map.copyOf(leases);
	}

	/**
	 * Returns the slots whose leases have not expired, in ascending order.
	 * @param now the elapsed time
	 * @return the slots; empty if all leases have expired
	 */
	public Set<Integer> valid(Duration now) {
		Set<Integer> valid = new TreeSet<>();
		this.leases.forEach((slot, lease) -> {
			if (now.compareTo(lease.validUntil()) < 0) {
				valid.add(slot);
			}
		});
		return valid;
	}

	/**
	 * Returns all slots, including those whose leases have expired since the last
	 * renewal.
	 * @return the slots
	 */
	public Set<Integer> slots() {
		return this.leases.keySet();
	}

}
