package io.wagtailmux.model.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.model.PoolId;

/**
 * Accepted configuration of routes, pools and organisations at one version, indexed for
 * finding the route and the organisation of a request. Immutable.
 *
 * @author the wagtailmux developers
 */
public final class ServingConfiguration {

	private final long version;

	private final Map<PoolId, ServingPool> pools;

	private final CallerLimits limits;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final boolean keysRequired;

	private final Map<String, OrganisationKeys> organisationsByKey = new HashMap<>();

	/**
	 * Creates the configuration.
	 * @param version the version, greater than those of all earlier configurations
	 * @param routes all routes
	 * @param pools all pools
	 * @param limits the limits on requests and connections of callers
	 * @param organisations the organisations with their keys, of which there may be none;
	 * empty if the configuration does not speak of organisations, so that callers need no
	 * keys
	 */
	public ServingConfiguration(long version, List<Route> routes, Map<PoolId, ServingPool> pools, CallerLimits limits,
			Optional<List<OrganisationKeys>> organisations) {
		this.version = version;
		this.pools = Map.copyOf(pools);
		this.limits = limits;
		for (Route route : routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestPrefixFirst = Comparator.comparingInt((route) -> -route.prefix().length());
		this.routesByHost.values().forEach((list) -> list.sort(longestPrefixFirst));
		this.keysRequired = organisations.isPresent();
		for (OrganisationKeys organisation : organisations.orElse(List.of())) {
			organisation.keys().forEach((key) -> this.organisationsByKey.put(key, organisation));
		}
	}

	/**
	 * Returns the version, which is greater than those of all earlier configurations.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on requests and connections of callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns all pools.
	 * @return the pools by id, unmodifiable
	 */
	public Map<PoolId, ServingPool> pools() {
		return this.pools;
	}

	/**
	 * Returns the route of a request: among the routes of the host, the one with the
	 * longest matching prefix.
	 * @param host the host, in lower case and without a port
	 * @param path the path, without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Returns whether callers need keys on routes that are not anonymous.
	 * @return whether the configuration speaks of organisations, also if none of them has
	 * a key, so that no request is admitted on these routes
	 */
	public boolean requiresKeys() {
		return this.keysRequired;
	}

	/**
	 * Returns the organisation that a key belongs to.
	 * @param key the API key that the caller sent
	 * @return the organisation, or empty if the key is not valid
	 */
	public Optional<OrganisationKeys> organisation(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

}
