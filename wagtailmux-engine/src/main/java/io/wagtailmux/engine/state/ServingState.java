package io.wagtailmux.engine.state;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * The traffic thread's own state: the newest view and the traffic to each pool.
 *
 * @author the wagtailmux developers
 */
public final class ServingState {

	private final InstanceId self;

	private final SharedLimits limits;

	private final TimeSource time;

	private final Map<PoolId, PoolTraffic> pools = new HashMap<>();

	private final Map<InetSocketAddress, AvailabilityZoneId> zones = new HashMap<>();

	private ServingView view = ServingView.EMPTY;

	private Optional<StopPlan> stopPlan = Optional.empty();

	/**
	 * Creates the state of an instance that knows nothing yet.
	 * @param self this instance
	 * @param limits the limits that bind all instances together
	 * @param time the clock
	 */
	public ServingState(InstanceId self, SharedLimits limits, TimeSource time) {
		this.self = self;
		this.limits = limits;
		this.time = time;
	}

	/**
	 * Takes a newer view.
	 * @param next the view
	 */
	public void updateView(ServingView next) {
		this.view = next;
		this.zones.clear();
		next.endpoints().values().forEach((endpoint) -> this.zones.put(endpoint.address(), endpoint.zone()));
		Duration now = this.time.elapsed();
		Map<PoolId, List<RegisteredEndpoint>> byPool = next.endpoints()
			.values()
			.stream()
			.collect(Collectors.groupingBy(RegisteredEndpoint::pool));
		next.configuration()
			.map(ServingConfiguration::pools)
			.orElse(Map.of())
			.forEach((id, pool) -> this.pools
				.computeIfAbsent(id, (ignored) -> new PoolTraffic(this.self, this.limits, pool))
				.update(pool, byPool.getOrDefault(id, List.of()), next, now));
	}

	/**
	 * Returns the newest view.
	 * @return the view
	 */
	public ServingView view() {
		return this.view;
	}

	/**
	 * Takes note that this instance was told to stop.
	 * @param plan when it stops
	 */
	public void updateStopPlan(StopPlan plan) {
		this.stopPlan = Optional.of(plan);
	}

	/**
	 * Returns when this instance stops.
	 * @return the plan; nothing if it was not told to stop
	 */
	public Optional<StopPlan> stopPlan() {
		return this.stopPlan;
	}

	/**
	 * Finds the availability zone of an address.
	 * @param address where an endpoint listens
	 * @return the zone, if the registry names an endpoint there
	 */
	public Optional<AvailabilityZoneId> zoneOf(InetSocketAddress address) {
		return Optional.ofNullable(this.zones.get(address));
	}

	/**
	 * Returns this instance.
	 * @return its id
	 */
	public InstanceId self() {
		return this.self;
	}

	/**
	 * Finds the traffic to a pool.
	 * @param pool the pool
	 * @return the traffic, if a configuration ever named the pool
	 */
	public Optional<PoolTraffic> pool(PoolId pool) {
		return Optional.ofNullable(this.pools.get(pool));
	}

	/**
	 * Returns what this instance saw of versions under trial.
	 * @return a report for each trial
	 */
	public List<TrialReport> trialReports() {
		Duration now = this.time.elapsed();
		return this.pools.values().stream().flatMap((pool) -> pool.trialReport(now).stream()).toList();
	}

	/**
	 * Returns the traffic to all pools.
	 * @return the pools
	 */
	public Iterable<PoolTraffic> pools() {
		return this.pools.values();
	}

}
