package io.wagtailmux.decision.lease;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The leases that an instance holds.
 *
 * @param leases the leases by slot; some may have expired while the table did not answer
 * @author the wagtailmux developers
 */
public record HeldSlots(Map<Integer, HeldSlot> leases) {

	/** No lease. */
	public static final HeldSlots NONE = new HeldSlots(Map.of());

	/**
	 * Creates the copy.
	 */
	public HeldSlots {
		leases = Map.copyOf(leases);
	}

	/**
	 * Returns the slots whose leases have not expired.
	 * @param now the elapsed time
	 * @return the slots
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
	 * Returns the slots that were held last, whether or not the leases have expired.
	 * @return the slots
	 */
	public Set<Integer> slots() {
		return this.leases.keySet();
	}

}
