package io.wagtailmux.engine.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * An immutable picture of all facts that traffic depends on, published by the control
 * thread.
 *
 * @param configuration the configuration in force; nothing before the first one is known
 * @param endpoints all endpoints of the registry
 * @param evacuated the availability zones whose endpoints get nothing
 * @param trials the pools that have a version under trial
 * @param peers the other instances that answer
 * @param instances how many instances may be alive, this one included
 * @author the wagtailmux developers
 */
public record ServingView(Optional<ServingConfiguration> configuration, Map<EndpointId, RegisteredEndpoint> endpoints,
		Set<AvailabilityZoneId> evacuated, Map<PoolId, VersionTrial> trials, List<InstancePeer> peers, int instances) {

	/** The view of an instance that knows nothing yet. */
	public static final ServingView EMPTY = new ServingView(Optional.empty(), Map.of(), Set.of(), Map.of(), List.of(),
			1);

	/**
	 * Tells whether an endpoint may get new work.
	 * @param endpoint the endpoint
	 * @return whether it is neither leaving nor in a zone that is evacuated
	 */
	public boolean usable(RegisteredEndpoint endpoint) {
		return !endpoint.draining() && !this.evacuated.contains(endpoint.zone());
	}

}
