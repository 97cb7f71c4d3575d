package io.wagtailmux.decision.limit;

import java.util.Comparator;
import java.util.Set;
import java.util.stream.IntStream;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.EndpointId;

/**
 * Maps endpoints to slots: the slot whose holder is the limiter of an endpoint, and the
 * slots among which the floor of the endpoint is divided, which is the number of calls
 * that need no grant.
 *
 * <p>
 * Every instance computes the same mapping from the number of slots alone, so the floors
 * of all instances never add up to more than the floor of the endpoint, whichever
 * instances hold the slots.
 *
 * @param slots the number of slots, at least one, the same on all instances
 * @author the wagtailmux developers
 */
public record SlotMap(int slots) {

	/**
	 * Returns the slot whose holder is the limiter of an endpoint.
	 * @param endpoint the endpoint
	 * @return the number of the slot, from zero
	 */
	public int limiterSlot(EndpointId endpoint) {
		return IntStream.range(0, this.slots)
			.boxed()
			.max(Comparator.comparingInt((slot) -> RendezvousHash.of(endpoint, slot)))
			.orElseThrow();
	}

	/**
	 * Returns the part of an endpoint's warm limit that is reserved for floors, which
	 * need no grant.
	 * @param contract the limits of the endpoint
	 * @return half of the warm limit, rounded down
	 */
	public static int floorUnits(Contract contract) {
		return contract.warmLimit() / 2;
	}

	/**
	 * Returns the part of an endpoint's floor that belongs to a set of slots.
	 * @param endpoint the endpoint
	 * @param contract the limits of the endpoint
	 * @param held the slots that an instance holds
	 * @return the number of calls that this instance may have in flight at the endpoint
	 * without a grant
	 */
	public int floorOf(EndpointId endpoint, Contract contract, Set<Integer> held) {
		int units = floorUnits(contract);
		int each = units / this.slots;
		int[] order = IntStream.range(0, this.slots)
			.boxed()
			.sorted(Comparator.comparingInt((Integer slot) -> RendezvousHash.of(endpoint, slot)))
			.mapToInt(Integer::intValue)
			.toArray();
		int floor = each * held.size();
		for (int rank = 0; rank < units % this.slots; rank++) {
			floor += held.contains(order[rank]) ? 1 : 0;
		}
		return floor;
	}

}
