package io.wagtailmux.engine.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.capacity.CapacityOrder;
import io.wagtailmux.decision.capacity.CapacityPlan;
import io.wagtailmux.decision.capacity.CapacityState;
import io.wagtailmux.decision.capacity.DemandCollection;
import io.wagtailmux.decision.capacity.DemandSample;
import io.wagtailmux.decision.duty.ClockReading;
import io.wagtailmux.decision.duty.DutyHolder;
import io.wagtailmux.decision.duty.DutyPermit;
import io.wagtailmux.engine.port.DutyCall;
import io.wagtailmux.engine.port.DutyReceiver;
import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.CapacityRange;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingConfiguration;
import io.wagtailmux.model.serving.ServingPool;

/**
 * Sends the orders for capacity of the holder of the duties. Confined to the control
 * thread.
 *
 * @author the wagtailmux developers
 */
final class CapacityOrdering {

	private static final Logger LOG = LoggerFactory.getLogger(CapacityOrdering.class);

	/** Longer than the longest interval at which instances tell their demand. */
	private static final Duration SAMPLE_LIFETIME = Duration.ofSeconds(8);

	private final InstanceId self;

	private final DutyReceiver receiver;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final DutyMetrics metrics;

	private final UnexpectedErrors errors;

	private final Map<PoolId, DemandCollection> demands = new HashMap<>();

	private final Map<PlanKey, CapacityPlan> plans = new HashMap<>();

	private int openCalls;

	CapacityOrdering(InstanceId self, DutyReceiver receiver, ScheduledExecutorService control, TimeSource time,
			DutyMetrics metrics, UnexpectedErrors errors) {
		this.self = self;
		this.receiver = receiver;
		this.control = control;
		this.time = time;
		this.metrics = metrics;
		this.errors = errors;
	}

	/**
	 * Returns whether an order was sent whose answer has not arrived.
	 * @return whether a call is open
	 */
	boolean isSending() {
		return this.openCalls > 0;
	}

	/**
	 * Accepts the demand of an instance.
	 * @param source the process
	 * @param pool the pool
	 * @param sample the demand
	 */
	void onDemand(DutyHolder source, PoolId pool, DemandSample sample) {
		this.demands.computeIfAbsent(pool, (ignored) -> new DemandCollection(SAMPLE_LIFETIME))
			.add(source, sample, this.time.elapsed());
	}

	/**
	 * Sends the orders that are due.
	 * @param permit the permission to act
	 * @param view the configuration and the endpoints
	 */
	void advance(DutyPermit permit, ServingView view) {
		if (isSending()) {
			return;
		}
		Map<PoolId, ServingPool> pools = view.configuration().map(ServingConfiguration::pools).orElse(Map.of());
		this.plans.keySet().removeIf((key) -> !pools.containsKey(key.pool()));
		pools.forEach((id, pool) -> pool.range().ifPresent((range) -> order(permit, id, range, view)));
	}

	private void order(DutyPermit permit, PoolId pool, CapacityRange range, ServingView view) {
		List<RegisteredEndpoint> endpoints = view.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.pool().equals(pool) && !endpoint.draining())
			.toList();
		Optional<RegisteredEndpoint> any = endpoints.stream().filter((endpoint) -> endpoint.slots() > 0).findFirst();
		DemandCollection demand = this.demands.get(pool);
		if (any.isEmpty() || demand == null) {
			return;
		}
		Map<AvailabilityZoneId, Integer> present = endpoints.stream()
			.collect(Collectors.toMap(RegisteredEndpoint::zone, (endpoint) -> 1, Integer::sum));
		CapacityState state = new CapacityState(demand.places(this.time.elapsed()), any.get().slots(), present,
				view.evacuated());
		CapacityPlan plan = this.plans.computeIfAbsent(new PlanKey(pool, range),
				(ignored) -> new CapacityPlan(pool, range));
		plan.next(state, this.time.elapsed()).forEach((order) -> send(permit, plan, order, state));
	}

	private void send(DutyPermit permit, CapacityPlan plan, CapacityOrder order, CapacityState state) {
		this.openCalls++;
		DutyCall call = new DutyCall(this.self, permit.token(), () -> permit.holds(ClockReading.of(this.time)));
		this.receiver.orderCapacity(call, order)
			.whenCompleteAsync((accepted, failure) -> this.errors.run("capacity ordered", () -> {
				this.openCalls--;
				LOG.atInfo()
					.addKeyValue("pool", order.pool())
					.addKeyValue("zone", order.zone())
					.addKeyValue("endpoints", order.endpoints())
					.addKeyValue("present", state.present())
					.addKeyValue("evacuated", state.evacuated())
					.addKeyValue("places", Math.round(state.places()))
					.addKeyValue("token", permit.token())
					.addKeyValue("outcome", (failure != null) ? failure.getMessage() : "accepted")
					.log("capacity ordered");
				this.metrics.recordOrder(failure == null);
				if (failure == null) {
					plan.onAccepted(order);
				}
			}), this.control);
	}

	/**
	 * A plan holds for one range; with another one a new plan begins.
	 *
	 * @param pool the pool
	 * @param range the range
	 */
	private record PlanKey(PoolId pool, CapacityRange range) {

	}

}
