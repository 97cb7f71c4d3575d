package io.wagtailmux.decision.limit;

import java.util.Comparator;
import java.util.Set;
import java.util.stream.IntStream;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.EndpointId;

/**
 * Assigns endpoints to slots: which slot's holder limits an endpoint, and which slots
 * share its floor.
 *
 * <p>
 * Every instance computes the same map from the number of slots alone, so the floors of
 * all instances never add up to more than the floor of the endpoint, whoever holds which
 * slots.
 *
 * @param slots the number of slots, the same on all instances
 * @author the wagtailmux developers
 */
public record SlotMap(int slots) {

	/**
	 * Returns the slot whose holder limits an endpoint.
	 * @param endpoint the endpoint
	 * @return the slot's number, from zero
	 */
	public int limiterSlot(EndpointId endpoint) {
		return IntStream.range(0, this.slots)
			.boxed()
			.max(Comparator.comparingInt((slot) -> RendezvousHash.of(endpoint, slot)))
			.orElseThrow();
	}

	/**
	 * Returns the calls that a warm endpoint's contract keeps for floors, which need no
	 * grant.
	 * @param contract the contract
	 * @return half of the warm limit, rounded down
	 */
	public static int floorUnits(Contract contract) {
		return contract.warmLimit() / 2;
	}

	/**
	 * Returns the part of an endpoint's floor that belongs to slots.
	 * @param endpoint the endpoint
	 * @param contract its contract
	 * @param held the slots
	 * @return calls that the holder of these slots may have in flight there without a
	 * grant
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
