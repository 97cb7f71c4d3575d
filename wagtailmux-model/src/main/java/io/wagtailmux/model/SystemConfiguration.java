package io.wagtailmux.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Accepted configuration of the whole system at one version.
 *
 * <p>
 * Immutable; collections are copied. References between objects are not checked here:
 * whoever creates a configuration ensures that the pool of each stage and the zone of
 * each endpoint exist.
 *
 * @param slots the number of slots that instances lease; at least one, and fixed for the
 * lifetime of a deployment
 * @param zones availability zones by id
 * @param links network links between availability zones
 * @param pools pools by id
 * @param endpoints endpoints by id
 * @param pipelines pipelines by id
 * @param organisations organisations by id
 * @author the wagtailmux developers
 */
public record SystemConfiguration(int slots, Map<AvailabilityZoneId, AvailabilityZone> zones, List<Link> links,
		Map<PoolId, Pool> pools, Map<EndpointId, Endpoint> endpoints, Map<PipelineId, Pipeline> pipelines,
		Map<OrganisationId, Organisation> organisations) {

	/** The number of slots if none is configured. */
	public static final int DEFAULT_SLOTS = 16;

	/** Configuration without any objects. */
	public static final SystemConfiguration EMPTY = new SystemConfiguration(DEFAULT_SLOTS, Map.of(), List.of(),
			Map.of(), Map.of(), Map.of(), Map.of());

	/**
	 * Creates the configuration.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_VALUE} if there are no
	 * slots
	 */
	public SystemConfiguration {
		if (slots < 1) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE,
					"SystemConfiguration: slots " + slots + " is below 1");
		}
		zones = Map.copyOf(zones);
		links = List.copyOf(links);
		pools = Map.copyOf(pools);
		endpoints = Map.copyOf(endpoints);
		pipelines = Map.copyOf(pipelines);
		organisations = Map.copyOf(organisations);
	}

	/**
	 * Returns the endpoints of a pool, sorted by id.
	 * @param pool the pool
	 * @return its endpoints, including those that are draining or in a zone that is out
	 * of service
	 */
	public List<Endpoint> endpointsOf(PoolId pool) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.pool().equals(pool))
			.sorted((left, right) -> left.id().compareTo(right.id()))
			.toList();
	}

	/**
	 * Returns whether an endpoint may get new calls according to the configuration.
	 * @param endpoint an endpoint of this configuration
	 * @return whether the endpoint is not draining and its zone is not out of service
	 */
	public boolean inService(Endpoint endpoint) {
		return !endpoint.leaving() && !this.zones.get(endpoint.zone()).out();
	}

	/**
	 * Returns the one-way delay between two zones.
	 * @param one a zone
	 * @param other another zone, or the same
	 * @return the delay; zero within a zone unless a link to itself is configured, and
	 * zero between zones without a link
	 */
	public Duration delayBetween(AvailabilityZoneId one, AvailabilityZoneId other) {
		return this.links.stream()
			.filter((link) -> link.joins(one, other))
			.map(Link::oneWayDelay)
			.findFirst()
			.orElse(Duration.ZERO);
	}

	/**
	 * Returns the organisation that a bearer token belongs to.
	 * @param tokenDigest the SHA-256 of the token in lower-case hexadecimal digits
	 * @return the organisation, or empty if the token is unknown
	 */
	public Optional<Organisation> organisationOfToken(String tokenDigest) {
		return this.organisations.values()
			.stream()
			.filter((organisation) -> organisation.tokenDigest().equals(tokenDigest))
			.findFirst();
	}

	/**
	 * Returns the longest timeout of all pipelines, which is the longest time that a call
	 * may be in flight.
	 * @return the timeout, or zero if there are no pipelines
	 */
	public Duration longestPipelineTimeout() {
		return this.pipelines.values().stream().map(Pipeline::timeout).max(Duration::compareTo).orElse(Duration.ZERO);
	}

}
