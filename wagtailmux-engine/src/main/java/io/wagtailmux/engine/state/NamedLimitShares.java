package io.wagtailmux.engine.state;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;

import io.wagtailmux.decision.share.DemandShares;
import io.wagtailmux.decision.share.LimitedCapacity;
import io.wagtailmux.decision.share.RequestRate;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;

/**
 * This instance's shares of the limits that the endpoints of one pool name in their
 * answers. Confined to the traffic thread.
 *
 * @author the wagtailmux developers
 */
public final class NamedLimitShares {

	/** Bounds the messages to other instances. */
	private static final int MAXIMUM_REPORTED = 64;

	private final PoolId pool;

	private final Collection<LiveEndpoint> endpoints;

	private final IntSupplier instances;

	private final RequestRate demand = new RequestRate();

	private final RequestRate refused = new RequestRate();

	private final DemandShares demandShares = new DemandShares();

	private int admittedRequests;

	/**
	 * Creates the shares of a pool without demand.
	 * @param pool the pool
	 * @param endpoints its registered endpoints; follows later updates
	 * @param instances returns the number of instances that may be alive
	 */
	NamedLimitShares(PoolId pool, Collection<LiveEndpoint> endpoints, IntSupplier instances) {
		this.pool = pool;
		this.endpoints = endpoints;
		this.instances = instances;
	}

	/**
	 * Records a request that this instance has for the pool, whether or not it is sent.
	 * @param now the elapsed time
	 */
	public void recordDemand(Duration now) {
		this.demand.record(now);
	}

	/**
	 * Records that a request was admitted but not sent yet, or that it was sent or ended.
	 * @param change one or minus one
	 */
	public void countAdmitted(int change) {
		this.admittedRequests += change;
	}

	/**
	 * Decides whether a request exceeds what the endpoints accept, if all usable ones
	 * name limits. A request that does is counted as refused.
	 * @param delay the time after which the request would be sent
	 * @param now the elapsed time
	 * @return the time after which it would fit; empty if it fits or an endpoint names no
	 * limit
	 */
	public Optional<Duration> excess(Duration delay, Duration now) {
		List<LiveEndpoint> usable = this.endpoints.stream().filter((endpoint) -> endpoint.usable(now)).toList();
		if (usable.isEmpty() || usable.stream().anyMatch((endpoint) -> endpoint.limit().isEmpty())) {
			return Optional.empty();
		}
		double requests = usable.stream().mapToDouble((endpoint) -> Math.max(0, tokens(endpoint, now))).sum();
		double perSecond = usable.stream().mapToDouble((endpoint) -> rate(endpoint, now)).sum();
		Optional<Duration> excess = new LimitedCapacity(requests, perSecond).shortfall(this.admittedRequests,
				this.refused.count(now), delay);
		excess.ifPresent((ignored) -> this.refused.record(now));
		return excess;
	}

	/**
	 * Returns whether an endpoint may get a further request from this instance.
	 * @param endpoint the endpoint
	 * @param now the elapsed time
	 * @return false if the endpoint names a limit and this instance's share of it is used
	 */
	public boolean allows(LiveEndpoint endpoint, Duration now) {
		return endpoint.limit().isEmpty() || tokens(endpoint, now) >= 1;
	}

	/**
	 * Records a call to an endpoint that counts towards its limit.
	 * @param endpoint the endpoint
	 */
	public void recordCall(LiveEndpoint endpoint) {
		if (endpoint.limit().isPresent()) {
			endpoint.limitShare().acquire();
		}
	}

	/**
	 * Records the demand of another instance for the pool.
	 * @param instance the other instance
	 * @param perSecond its requests per second
	 * @param now the elapsed time
	 */
	public void recordReportedDemand(InstanceId instance, double perSecond, Duration now) {
		this.demandShares.report(instance, perSecond, now);
	}

	/**
	 * Returns what this instance reports to others on the limits of the endpoints.
	 * @param now the elapsed time
	 * @return the report; empty if no endpoint has a limit or named one in an answer
	 */
	public Optional<PoolLimits> report(Duration now) {
		if (this.endpoints.stream().allMatch((endpoint) -> endpoint.limit().isEmpty())) {
			return Optional.empty();
		}
		List<LimitSighting> sightings = this.endpoints.stream()
			.flatMap((endpoint) -> endpoint.limitSighting().stream())
			.sorted(Comparator.comparing(LimitSighting::namedAt).reversed())
			.limit(MAXIMUM_REPORTED)
			.toList();
		return Optional.of(new PoolLimits(this.pool, this.demand.perSecond(now), sightings));
	}

	private double tokens(LiveEndpoint endpoint, Duration now) {
		return endpoint.limitShare()
			.tokens(rate(endpoint, now), endpoint.limit().orElse(0), this.demand.settledPerSecond(now), now);
	}

	private double rate(LiveEndpoint endpoint, Duration now) {
		return endpoint.limit().orElse(0)
				* this.demandShares.fraction(this.demand.settledPerSecond(now), this.instances.getAsInt(), now);
	}

}
