package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.wagtailmux.decision.admission.ChainPlan;
import io.wagtailmux.decision.placement.InputBytes;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.port.CallerRequest;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.Route;
import io.wagtailmux.model.serving.RouteStage;

/**
 * Runs the stages of one request: each as soon as those that it needs have ended.
 *
 * <p>
 * Results are given up as soon as no further stage needs them; those of the last stages
 * stay until {@link #release()}.
 *
 * @author the wagtailmux developers
 */
public final class StageRun {

	/**
	 * Below this, a place that is free sooner is worth more than fewer bytes between
	 * zones.
	 */
	private static final long MANY_BYTES = 300_000;

	private final EngineContext context;

	private final Route route;

	private final CallerRequest request;

	private final int priority;

	private final ChainPlan plan;

	private final Duration target;

	private final Duration deadline;

	private final Optional<AvailabilityZoneId> home;

	private final Consumer<Optional<PieceFailure>> done;

	private final Map<Integer, List<ResultHandle>> results = new HashMap<>();

	private final Set<Integer> begun = new HashSet<>();

	private final Set<Integer> freed = new HashSet<>();

	private final List<Runnable> cancellations = new ArrayList<>();

	private boolean over;

	private boolean released;

	/**
	 * Prepares the stages of a request.
	 * @param context what the engine works with
	 * @param route the request's route
	 * @param request what the caller said
	 * @param priority the rank of the request
	 * @param plan the time that each stage needs
	 * @param target the elapsed time by which the answer is to begin
	 * @param deadline the elapsed time at which nobody waits any more
	 * @param home the availability zone in which all work is to be done
	 * @param done hears of the end once: a failure, or nothing if all results are there
	 */
	public StageRun(EngineContext context, Route route, CallerRequest request, int priority, ChainPlan plan,
			Duration target, Duration deadline, Optional<AvailabilityZoneId> home,
			Consumer<Optional<PieceFailure>> done) {
		this.context = context;
		this.route = route;
		this.request = request;
		this.priority = priority;
		this.plan = plan;
		this.target = target;
		this.deadline = deadline;
		this.home = home;
		this.done = done;
	}

	/**
	 * Begins with the stages that need no others.
	 */
	public void start() {
		advance();
	}

	/**
	 * Returns the results that the request itself needs.
	 * @return the results of all stages that no other stage follows, in order
	 */
	public List<ResultHandle> inputs() {
		return IntStream.range(0, this.route.stages().size())
			.filter(this::isLast)
			.boxed()
			.flatMap((stage) -> this.results.getOrDefault(stage, List.of()).stream())
			.toList();
	}

	/**
	 * Returns where the results lie that the request itself needs.
	 * @return the bytes in each availability zone
	 */
	public InputBytes inputBytes() {
		Map<AvailabilityZoneId, Long> bytes = new HashMap<>();
		IntStream.range(0, this.route.stages().size()).filter(this::isLast).forEach((stage) -> {
			long each = this.route.stages().get(stage).resultBytes();
			for (ResultHandle handle : this.results.getOrDefault(stage, List.of())) {
				this.context.endpoints()
					.location(handle)
					.flatMap(this.context.state()::zoneOf)
					.ifPresent((zone) -> bytes.merge(zone, each, Long::sum));
			}
		});
		return new InputBytes(bytes);
	}

	/**
	 * Gives up all results, and pieces that are not made yet.
	 */
	public void release() {
		this.over = true;
		this.released = true;
		this.cancellations.forEach(Runnable::run);
		this.cancellations.clear();
		this.results.keySet().forEach(this::free);
	}

	/**
	 * Tells whether the results were given up.
	 * @return whether a further endpoint could not read them any more
	 */
	public boolean released() {
		return this.released;
	}

	private void advance() {
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			boolean ready = this.results.keySet().containsAll(this.route.stages().get(stage).dependencies());
			if (ready && !this.over && !heldBack(stage) && this.begun.add(stage)) {
				begin(stage);
			}
		}
		if (!this.over && this.results.size() == this.route.stages().size()) {
			this.over = true;
			this.done.accept(Optional.empty());
		}
	}

	/**
	 * Tells whether a stage waits for others that take longer, since its results are
	 * large and nobody reads them before: their room is scarce when load is high.
	 * @param stage the index of the stage
	 * @return whether it is begun later
	 */
	private boolean heldBack(int stage) {
		boolean large = pieces(stage) * this.route.stages().get(stage).resultBytes() >= MANY_BYTES;
		return large && isLast(stage) && this.plan.wouldFinishEarly(stage, this.results.keySet());
	}

	private void begin(int index) {
		RouteStage stage = this.route.stages().get(index);
		int count = (int) pieces(index);
		if (count == 0) {
			this.results.put(index, List.of());
			return;
		}
		List<ResultHandle> inputs = stage.dependencies()
			.stream()
			.flatMap((before) -> this.results.get(before).stream())
			.toList();
		Duration now = this.context.time().elapsed();
		Duration usefulUntil = this.deadline.minus(this.plan.minimumTimeAfter(index));
		PieceGroup group = new PieceGroup(this.request.attempt(), index, IntStream.range(0, count).boxed().toList(),
				stage.dependencies().isEmpty() ? this.request.pieceKey() : Optional.empty(), inputs, this.priority,
				usefulUntil.minus(now), this.target.minus(this.plan.timeFromStart(index)).minus(now),
				stage.resultBytes(), movesMuch(index) ? this.home : Optional.empty(), inputsFreedAt(index));
		this.cancellations.add(this.context.pieces().submit(stage.pool(), group, (result) -> ended(index, result)));
	}

	/**
	 * Tells whose results only one stage reads.
	 * @param index the index of the stage that reads them
	 * @return the pool that keeps them; nothing if others read them too
	 */
	private Optional<PoolId> inputsFreedAt(int index) {
		List<Integer> after = this.route.stages().get(index).dependencies();
		if (after.size() != 1) {
			return Optional.empty();
		}
		long readers = this.route.stages()
			.stream()
			.filter((other) -> other.dependencies().contains(after.get(0)))
			.count();
		return (readers == 1) ? Optional.of(this.route.stages().get(after.get(0)).pool()) : Optional.empty();
	}

	/**
	 * Tells whether a stage's place decides about many bytes between zones: what its
	 * pieces read, or what is read of them.
	 * @param index the index of the stage
	 * @return whether it is bound to the request's home zone
	 */
	private boolean movesMuch(int index) {
		RouteStage stage = this.route.stages().get(index);
		long read = 0;
		for (int before : stage.dependencies()) {
			read += pieces(before) * this.route.stages().get(before).resultBytes() * pieces(index);
		}
		long readers = IntStream.range(0, this.route.stages().size())
			.filter((other) -> this.route.stages().get(other).dependencies().contains(index))
			.mapToLong(this::pieces)
			.sum();
		return Math.max(read, pieces(index) * stage.resultBytes() * Math.max(1, readers)) >= MANY_BYTES;
	}

	private long pieces(int stage) {
		return (stage < this.request.pieces().size()) ? this.request.pieces().get(stage) : 0;
	}

	private void ended(int index, PieceGroupResult result) {
		this.results.put(index, result.handles());
		if (this.over) {
			free(index);
			return;
		}
		if (result.failure().isPresent()) {
			this.over = true;
			release();
			this.done.accept(result.failure());
			return;
		}
		this.route.stages().get(index).dependencies().stream().filter(this::isUsedUp).forEach(this::free);
		advance();
	}

	private boolean isLast(int stage) {
		return this.route.stages().stream().noneMatch((other) -> other.dependencies().contains(stage));
	}

	private boolean isUsedUp(int stage) {
		return IntStream.range(0, this.route.stages().size())
			.filter((other) -> this.route.stages().get(other).dependencies().contains(stage))
			.allMatch(this.results::containsKey);
	}

	private void free(int stage) {
		List<ResultHandle> handles = this.results.getOrDefault(stage, List.of());
		if (!handles.isEmpty() && this.freed.add(stage)) {
			this.context.pieces().free(this.route.stages().get(stage).pool(), handles);
		}
	}

}
