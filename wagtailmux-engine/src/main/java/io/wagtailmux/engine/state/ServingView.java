package io.wagtailmux.engine.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * Immutable snapshot of all facts that the traffic thread depends on, published by the
 * control thread.
 *
 * @param configuration the configuration in force; empty until the first one is known
 * @param endpoints all registered endpoints
 * @param evacuated the availability zones whose endpoints get no new requests
 * @param trials the newest rollout of each pool that has one
 * @param peers the other instances that are alive and accept new work
 * @param instances the number of instances that may be alive, this one included
 * @author the wagtailmux developers
 */
public record ServingView(Optional<ServingConfiguration> configuration, Map<EndpointId, RegisteredEndpoint> endpoints,
		Set<AvailabilityZoneId> evacuated, Map<PoolId, VersionTrial> trials, List<InstancePeer> peers, int instances) {

	/** View of an instance that has not read the store yet. */
	public static final ServingView EMPTY = new ServingView(Optional.empty(), Map.of(), Set.of(), Map.of(), List.of(),
			1);

	/**
	 * Returns the rank of an instance for a key among the instances that are alive, in an
	 * order that all of them compute alike.
	 * @param self this instance
	 * @param key the key; its {@code toString()} is hashed
	 * @return the number of peers that come before this instance
	 */
	public int rank(InstanceId self, Object key) {
		int own = RendezvousHash.of(key, self);
		return (int) this.peers.stream().filter((peer) -> RendezvousHash.of(key, peer.id()) > own).count();
	}

	/**
	 * Returns whether an endpoint may get new requests.
	 * @param endpoint the endpoint
	 * @return whether it is neither draining nor in an evacuated availability zone
	 */
	public boolean usable(RegisteredEndpoint endpoint) {
		return !endpoint.draining() && !this.evacuated.contains(endpoint.zone());
	}

}
