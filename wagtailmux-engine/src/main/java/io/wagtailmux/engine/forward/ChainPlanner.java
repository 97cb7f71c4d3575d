package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.wagtailmux.decision.admission.ChainPlan;
import io.wagtailmux.decision.admission.ChainStep;
import io.wagtailmux.decision.admission.ExpectedWait;
import io.wagtailmux.decision.placement.HomeZone;
import io.wagtailmux.decision.stage.PieceUrgency;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.port.CallerRequest;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.serving.BatchCapacity;
import io.wagtailmux.model.serving.Route;
import io.wagtailmux.model.serving.RouteStage;
import io.wagtailmux.model.serving.ServingPool;

/**
 * Estimates when a request would be answered, over all its stages, and chooses the
 * availability zone for its work.
 *
 * @author the wagtailmux developers
 */
final class ChainPlanner {

	/** Estimated time from the end of the last stage to the first event of a response. */
	private static final Duration ENGINE_TIME = Duration.ofMillis(150);

	private final EngineContext context;

	private final Route route;

	private final CallerRequest request;

	private final PoolTraffic pool;

	private final int priority;

	private final Duration target;

	/**
	 * Creates the planner of one request.
	 * @param context the shared objects of the engine
	 * @param route the route of the request
	 * @param request the values that the caller stated
	 * @param pool the pool that answers the request after its stages
	 * @param priority the priority of the request; zero is the most urgent
	 * @param target the elapsed time by which the response should start
	 */
	ChainPlanner(EngineContext context, Route route, CallerRequest request, PoolTraffic pool, int priority,
			Duration target) {
		this.context = context;
		this.route = route;
		this.request = request;
		this.pool = pool;
		this.priority = priority;
		this.target = target;
	}

	/**
	 * Estimates the time for each stage and for the response if the request started now.
	 * @return the plan, with durations from now
	 */
	ChainPlan plan() {
		Duration idleFinish = plan((stage) -> ExpectedWait.NONE).expectedFinish();
		Duration slack = this.target.minus(this.context.time().elapsed()).minus(idleFinish);
		PieceUrgency urgency = new PieceUrgency(this.priority, slack);
		return plan((stage) -> this.context.pieces().expectedWait(stage.pool(), urgency));
	}

	private ChainPlan plan(Function<RouteStage, ExpectedWait> waiting) {
		List<ChainStep> steps = new ArrayList<>();
		for (int index = 0; index < this.route.stages().size(); index++) {
			steps.add(step(index, this.route.stages().get(index), waiting));
		}
		Duration last = this.route.stages().isEmpty() ? Duration.ZERO : ENGINE_TIME;
		return new ChainPlan(steps, last);
	}

	private ChainStep step(int index, RouteStage stage, Function<RouteStage, ExpectedWait> waiting) {
		int count = (index < this.request.pieces().size()) ? this.request.pieces().get(index) : 0;
		Optional<BatchCapacity> capacity = this.context.state()
			.pool(stage.pool())
			.map(PoolTraffic::pool)
			.flatMap(ServingPool::batch);
		if (count == 0 || capacity.isEmpty()) {
			return new ChainStep(stage.dependencies(), (count == 0) ? ExpectedWait.NONE : waiting.apply(stage),
					Duration.ZERO);
		}
		return ChainStep.of(stage.dependencies(), count, capacity.get(), waiting.apply(stage));
	}

	/**
	 * Chooses the availability zone for the work of the request, among those in which the
	 * pool and each stage's pool have a usable endpoint. A zone's weight is the smallest
	 * number of usable endpoints that a stage's pool has in it; without stages all zones
	 * have the same weight.
	 * @return the availability zone; empty if there is none, or if the request states no
	 * shared part of its prompt
	 */
	Optional<AvailabilityZoneId> homeZone() {
		Duration now = this.context.time().elapsed();
		Map<AvailabilityZoneId, Integer> weights = new HashMap<>();
		this.pool.usableByZone(now).keySet().forEach((zone) -> weights.put(zone, Integer.MAX_VALUE));
		for (RouteStage stage : this.route.stages()) {
			Map<AvailabilityZoneId, Integer> usable = this.context.state()
				.pool(stage.pool())
				.map((pool) -> pool.usableByZone(now))
				.orElse(Map.of());
			weights.replaceAll((zone, weight) -> Math.min(weight, usable.getOrDefault(zone, 0)));
		}
		return HomeZone.choose(this.request.generation(), weights);
	}

}
