package io.wagtailmux.engine.state;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.wagtailmux.decision.capacity.DemandSample;
import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.poison.PoisonListener;
import io.wagtailmux.decision.poison.Refusal;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingConfiguration;
import io.wagtailmux.model.serving.ServingPool;

/**
 * State of the traffic thread: the newest view and the traffic to each pool. Confined to
 * the traffic thread.
 *
 * @author the wagtailmux developers
 */
public final class ServingState implements RefusalOperations {

	private final DutyCandidate self;

	private final SharedLimits limits;

	private final TimeSource time;

	private final Map<PoolId, PoolTraffic> pools = new HashMap<>();

	private final Map<InetSocketAddress, RegisteredEndpoint> endpointsByAddress = new HashMap<>();

	private final Function<PoolId, PoisonListener> poisonListeners;

	private final Map<PoolId, List<Refusal>> earlyRefusals = new HashMap<>();

	private final StatedSpeeds statedSpeeds = new StatedSpeeds();

	private ServingView view = ServingView.EMPTY;

	private Optional<StopPlan> stopPlan = Optional.empty();

	/**
	 * Creates the state of an instance that has not received a view yet.
	 * @param self this instance
	 * @param limits the limits that apply to all instances combined
	 * @param time the clock
	 * @param poisonListeners creates the listener that is told what is decided about
	 * prompt parts of a pool
	 */
	public ServingState(DutyCandidate self, SharedLimits limits, TimeSource time,
			Function<PoolId, PoisonListener> poisonListeners) {
		this.self = self;
		this.limits = limits;
		this.time = time;
		this.poisonListeners = poisonListeners;
	}

	/**
	 * Replaces the view and updates the endpoints of all pools, also of those that its
	 * configuration no longer contains: requests in progress may still use them, with the
	 * settings of the last configuration that contained them.
	 * @param next the newer view
	 */
	public void updateView(ServingView next) {
		this.view = next;
		this.endpointsByAddress.clear();
		next.endpoints().values().forEach((endpoint) -> this.endpointsByAddress.put(endpoint.address(), endpoint));
		Duration now = this.time.elapsed();
		Map<PoolId, List<RegisteredEndpoint>> byPool = next.endpoints()
			.values()
			.stream()
			.collect(Collectors.groupingBy(RegisteredEndpoint::pool));
		Map<PoolId, ServingPool> configured = next.configuration().map(ServingConfiguration::pools).orElse(Map.of());
		configured.forEach((id, pool) -> this.pools.computeIfAbsent(id, (ignored) -> newPool(pool)));
		this.pools.forEach((id, traffic) -> traffic.update(configured.getOrDefault(id, traffic.pool()),
				byPool.getOrDefault(id, List.of()), next, now));
	}

	/**
	 * Returns what endpoints have stated to this instance about how long work takes.
	 * @return the newest statements
	 */
	public StatedSpeeds statedSpeeds() {
		return this.statedSpeeds;
	}

	/**
	 * Returns this instance's demand for the pools whose endpoints can be ordered.
	 * @return the demand by pool
	 */
	public Map<PoolId, DemandSample> demands() {
		Map<PoolId, DemandSample> demands = new HashMap<>();
		this.pools.forEach((id, traffic) -> {
			if (traffic.pool().range().isPresent()) {
				demands.put(id, traffic.demand().sample());
			}
		});
		return demands;
	}

	/**
	 * Adopts a refusal of prompt parts that was read from the store or another instance.
	 * @param pool the pool, which may become known later
	 * @param refusal the refusal
	 */
	public void mergeRefusal(PoolId pool, Refusal refusal) {
		PoolTraffic traffic = this.pools.get(pool);
		if (traffic == null) {
			this.earlyRefusals.computeIfAbsent(pool, (ignored) -> new ArrayList<>()).add(refusal);
			return;
		}
		traffic.poison().merge(refusal, this.time.elapsed());
	}

	@Override
	public List<PoolRefusal> refusals() {
		return this.pools.entrySet()
			.stream()
			.flatMap((entry) -> entry.getValue()
				.poison()
				.refusals()
				.stream()
				.map((refusal) -> new PoolRefusal(entry.getKey(), refusal)))
			.toList();
	}

	@Override
	public boolean lift(PoolId pool, Set<String> parts) {
		return pool(pool).filter((traffic) -> traffic.poison().lift(parts, this.time.elapsed())).isPresent();
	}

	private PoolTraffic newPool(ServingPool pool) {
		PoolTraffic traffic = new PoolTraffic(this.self.id(), this.limits, pool, this.poisonListeners.apply(pool.id()));
		Optional.ofNullable(this.earlyRefusals.remove(pool.id()))
			.orElse(List.of())
			.forEach((refusal) -> traffic.poison().merge(refusal, this.time.elapsed()));
		return traffic;
	}

	/**
	 * Returns the newest view.
	 * @return the view; {@link ServingView#EMPTY} before the first update
	 */
	public ServingView view() {
		return this.view;
	}

	/**
	 * Sets when this instance stops.
	 * @param plan the plan
	 */
	public void updateStopPlan(StopPlan plan) {
		this.stopPlan = Optional.of(plan);
	}

	/**
	 * Returns when this instance stops.
	 * @return the plan; empty if the instance is not stopping
	 */
	public Optional<StopPlan> stopPlan() {
		return this.stopPlan;
	}

	/**
	 * Returns the availability zone of an address.
	 * @param address the address of an endpoint
	 * @return the availability zone; empty if no endpoint is registered with the address
	 */
	public Optional<AvailabilityZoneId> zoneOf(InetSocketAddress address) {
		return endpointAt(address).map(RegisteredEndpoint::zone);
	}

	/**
	 * Returns the endpoint at an address.
	 * @param address the address
	 * @return the endpoint; empty if none is registered with the address
	 */
	public Optional<RegisteredEndpoint> endpointAt(InetSocketAddress address) {
		return Optional.ofNullable(this.endpointsByAddress.get(address));
	}

	/**
	 * Returns this instance as a candidate for duties.
	 * @return the candidate
	 */
	public DutyCandidate self() {
		return this.self;
	}

	/**
	 * Returns the traffic to a pool.
	 * @param pool the id of the pool
	 * @return the traffic; empty if no configuration so far contained the pool
	 */
	public Optional<PoolTraffic> pool(PoolId pool) {
		return Optional.ofNullable(this.pools.get(pool));
	}

	/**
	 * Returns this instance's reports on versions under trial.
	 * @return a report for each pool that has a version under trial
	 */
	public List<TrialReport> trialReports() {
		Duration now = this.time.elapsed();
		return this.pools.values().stream().flatMap((pool) -> pool.trialReport(now).stream()).toList();
	}

	/**
	 * Returns the traffic to all pools.
	 * @return the pools that any configuration so far contained
	 */
	public Collection<PoolTraffic> pools() {
		return this.pools.values();
	}

}
