package io.wagtailmux.daemon.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.wagtailmux.decision.limit.SlotMap;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.SystemConfiguration;

/**
 * Caches the limiter slot and the floor of each endpoint of a configuration. Computing
 * them hashes every endpoint against every slot, which is too expensive to repeat.
 * Immutable.
 *
 * @author the wagtailmux developers
 */
final class SlotIndex {

	/** The index of the empty configuration. */
	static final SlotIndex NONE = new SlotIndex(SystemConfiguration.EMPTY, Set.of());

	private final Map<EndpointId, Integer> limiterSlots = new HashMap<>();

	private final Map<EndpointId, Integer> floors = new HashMap<>();

	/**
	 * Computes the index.
	 * @param configuration the configuration in force
	 * @param held the slots that this instance held last, even if their leases have
	 * expired
	 */
	SlotIndex(SystemConfiguration configuration, Set<Integer> held) {
		SlotMap slots = new SlotMap(configuration.slots());
		for (Endpoint endpoint : configuration.endpoints().values()) {
			Contract contract = configuration.pools().get(endpoint.pool()).contract();
			this.limiterSlots.put(endpoint.id(), slots.limiterSlot(endpoint.id()));
			this.floors.put(endpoint.id(), slots.floorOf(endpoint.id(), contract, held));
		}
	}

	/**
	 * Returns the slot whose holder limits an endpoint.
	 * @param endpoint an endpoint of the configuration
	 * @return the slot's number
	 */
	int limiterSlot(EndpointId endpoint) {
		return this.limiterSlots.get(endpoint);
	}

	/**
	 * Returns this instance's part of the floor of an endpoint.
	 * @param endpoint the endpoint
	 * @return the number of calls that need no grant once the endpoint is proven; zero if
	 * the endpoint is not configured
	 */
	int floor(EndpointId endpoint) {
		return this.floors.getOrDefault(endpoint, 0);
	}

}
