package io.wagtailmux.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The whole accepted configuration of the system at one version.
 *
 * <p>
 * Immutable. References between its objects are checked before it is created, so a
 * pipeline's pool exists and an endpoint's zone exists.
 *
 * @param slots the number of instance slots; it never changes in the life of a system
 * @param zones availability zones by id
 * @param links delays between availability zones
 * @param pools pools by id
 * @param endpoints endpoints by id
 * @param pipelines pipelines by id
 * @param organisations organisations by id
 * @author the wagtailmux developers
 */
public record SystemConfiguration(int slots, Map<AvailabilityZoneId, AvailabilityZone> zones, List<Link> links,
		Map<PoolId, Pool> pools, Map<EndpointId, Endpoint> endpoints, Map<PipelineId, Pipeline> pipelines,
		Map<OrganisationId, Organisation> organisations) {

	/** The number of slots where none is configured. */
	public static final int DEFAULT_SLOTS = 16;

	/** A configuration without any object. */
	public static final SystemConfiguration EMPTY = new SystemConfiguration(DEFAULT_SLOTS, Map.of(), List.of(),
			Map.of(), Map.of(), Map.of(), Map.of());

	/**
	 * Creates the configuration.
	 */
	public SystemConfiguration {
		if (slots < 1) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE, "SystemConfiguration: slots " + slots + " below 1");
		}
		zones = Map.copyOf(zones);
		links = List.copyOf(links);
		pools = Map.copyOf(pools);
		endpoints = Map.copyOf(endpoints);
		pipelines = Map.copyOf(pipelines);
		organisations = Map.copyOf(organisations);
	}

	/**
	 * Returns the endpoints of a pool in the order of their ids.
	 * @param pool the pool
	 * @return its endpoints, those that are leaving and those in zones that are out
	 * included
	 */
	public List<Endpoint> endpointsOf(PoolId pool) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.pool().equals(pool))
			.sorted((left, right) -> left.id().compareTo(right.id()))
			.toList();
	}

	/**
	 * Tells whether operators let an endpoint have new work.
	 * @param endpoint the endpoint
	 * @return whether neither it is leaving nor its zone is out
	 */
	public boolean inService(Endpoint endpoint) {
		return !endpoint.leaving() && !this.zones.get(endpoint.zone()).out();
	}

	/**
	 * Returns the one-way delay between two zones.
	 * @param one a zone
	 * @param other another zone, or the same
	 * @return the link's delay; zero inside a zone and where no link is configured
	 */
	public Duration delayBetween(AvailabilityZoneId one, AvailabilityZoneId other) {
		return this.links.stream()
			.filter((link) -> link.joins(one, other))
			.map(Link::oneWayDelay)
			.findFirst()
			.orElse(Duration.ZERO);
	}

	/**
	 * Finds the organisation that a token belongs to.
	 * @param tokenDigest the SHA-256 of the token in lower-case hexadecimal digits
	 * @return the organisation, or nothing if the token is unknown
	 */
	public Optional<Organisation> organisationOfToken(String tokenDigest) {
		return this.organisations.values()
			.stream()
			.filter((organisation) -> organisation.tokenDigest().equals(tokenDigest))
			.findFirst();
	}

	/**
	 * Returns how long a call may be in flight.
	 * @return the longest timeout of any pipeline
	 */
	public Duration longestPipelineTimeout() {
		return this.pipelines.values().stream().map(Pipeline::timeout).max(Duration::compareTo).orElse(Duration.ZERO);
	}

}
