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
 * Runs the stages of one request, each as soon as the stages that it depends on have
 * ended. Used on the traffic thread only.
 *
 * <p>
 * Results are released as soon as no further stage needs them. The results of the last
 * stages, on which no other stage depends, are kept until {@link #release()}.
 *
 * @author the wagtailmux developers
 */
public final class StageRun {

	/**
	 * Size from which data counts as large. Below it, a short wait for an endpoint
	 * matters more than little traffic between availability zones.
	 */
	private static final long LARGE_DATA_BYTES = 300_000;

	private final EngineContext context;

	private final Route route;

	private final CallerRequest request;

	private final int priority;

	private final ChainPlan plan;

	private final Duration target;

	private final Duration deadline;

	private final boolean again;

	private final Optional<AvailabilityZoneId> home;

	private final String suspect;

	private final Consumer<Optional<PieceFailure>> done;

	private final Map<Integer, List<ResultHandle>> results = new HashMap<>();

	private final Set<Integer> started = new HashSet<>();

	private final Set<Integer> releasedStages = new HashSet<>();

	private final List<Runnable> cancellations = new ArrayList<>();

	private boolean ended;

	private boolean released;

	/**
	 * Creates the run; {@link #start()} starts it.
	 * @param context the collaborators that the parts of the engine share
	 * @param route the route of the request
	 * @param request the values that the caller stated
	 * @param priority the priority of the request; zero is the most urgent
	 * @param plan the expected times of the stages
	 * @param target the time by which the response should start, on the engine's clock
	 * @param deadline the time after which the caller no longer waits, on the engine's
	 * clock
	 * @param again whether the stages ran before, so that the request is not refused
	 * however long they wait
	 * @param home the availability zone in which stages with large data should run; empty
	 * if there is no preference
	 * @param suspect the identity of the request as a suspect of crashes
	 * @param done accepts the end of the run once: a failure, or empty if all stages
	 * succeeded; possibly called before {@link #start()} returns, but not after
	 * {@link #release()}
	 */
	public StageRun(EngineContext context, Route route, CallerRequest request, int priority, ChainPlan plan,
			Duration target, Duration deadline, boolean again, Optional<AvailabilityZoneId> home, String suspect,
			Consumer<Optional<PieceFailure>> done) {
		this.context = context;
		this.route = route;
		this.request = request;
		this.priority = priority;
		this.plan = plan;
		this.target = target;
		this.deadline = deadline;
		this.again = again;
		this.home = home;
		this.suspect = suspect;
		this.done = done;
	}

	/**
	 * Starts the stages that depend on no others.
	 */
	public void start() {
		startReadyStages();
	}

	/**
	 * Returns the results that are the input of the request.
	 * @return the results of the last stages, in the order of stages and pieces; those of
	 * stages that have not ended are missing
	 */
	public List<ResultHandle> inputs() {
		return IntStream.range(0, this.route.stages().size())
			.filter(this::isLast)
			.boxed()
			.flatMap((stage) -> this.results.getOrDefault(stage, List.of()).stream())
			.toList();
	}

	/**
	 * Returns the location of the results that are the input of the request.
	 * @return the bytes in each availability zone, without results whose availability
	 * zone is unknown
	 */
	public InputBytes inputBytes() {
		Map<AvailabilityZoneId, Long> bytes = new HashMap<>();
		IntStream.range(0, this.route.stages().size()).filter(this::isLast).forEach((stage) -> {
			long bytesPerResult = this.route.stages().get(stage).resultBytes();
			for (ResultHandle handle : this.results.getOrDefault(stage, List.of())) {
				this.context.endpoints()
					.location(handle)
					.flatMap(this.context.state()::zoneOf)
					.ifPresent((zone) -> bytes.merge(zone, bytesPerResult, Long::sum));
			}
		});
		return new InputBytes(bytes);
	}

	/**
	 * Ends the run: cancels all pieces that have not ended and releases all results. May
	 * be called more than once.
	 */
	public void release() {
		this.ended = true;
		this.released = true;
		this.cancellations.forEach(Runnable::run);
		this.cancellations.clear();
		this.results.keySet().forEach(this::releaseResults);
	}

	/**
	 * Returns whether the results were released, by {@link #release()} or since the run
	 * failed.
	 * @return whether endpoints can no longer read the results
	 */
	public boolean released() {
		return this.released;
	}

	/**
	 * Returns the stages that have ended.
	 * @return a copy of their indexes
	 */
	public Set<Integer> endedStages() {
		return Set.copyOf(this.results.keySet());
	}

	private void startReadyStages() {
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			boolean ready = this.results.keySet().containsAll(this.route.stages().get(stage).dependencies());
			if (ready && !this.ended && !isDelayed(stage) && this.started.add(stage)) {
				startStage(stage);
			}
		}
		if (!this.ended && this.results.size() == this.route.stages().size()) {
			this.ended = true;
			this.done.accept(Optional.empty());
		}
	}

	/**
	 * Returns whether a stage is started later because other stages take longer. Large
	 * results that are not read before those stages end would only occupy memory, which
	 * is scarce under high load.
	 * @param stage the index of the stage
	 * @return whether the stage is not to be started yet
	 */
	private boolean isDelayed(int stage) {
		boolean large = pieceCount(stage) * this.route.stages().get(stage).resultBytes() >= LARGE_DATA_BYTES;
		return large && isLast(stage) && this.plan.wouldFinishEarly(stage, this.results.keySet());
	}

	private void startStage(int index) {
		RouteStage stage = this.route.stages().get(index);
		int count = (int) pieceCount(index);
		if (count == 0) {
			this.results.put(index, List.of());
			return;
		}
		List<ResultHandle> inputs = stage.dependencies()
			.stream()
			.flatMap((dependency) -> this.results.get(dependency).stream())
			.toList();
		Duration now = this.context.time().elapsed();
		Duration usefulUntil = this.deadline.minus(this.plan.minimumTimeAfter(index));
		PieceGroup group = new PieceGroup(this.request.attempt(), index, IntStream.range(0, count).boxed().toList(),
				stage.dependencies().isEmpty() ? this.request.pieceKey() : Optional.empty(), inputs, this.priority,
				usefulUntil.minus(now), this.target.minus(this.plan.timeFromStart(index)).minus(now),
				longestWait(index, now), stage.resultBytes(), transfersMuchData(index) ? this.home : Optional.empty(),
				releasableInputPool(index), Optional.of(this.suspect));
		this.cancellations
			.add(this.context.pieces().submit(stage.pool(), group, (result) -> onGroupEnded(index, result)));
	}

	/**
	 * Returns how long a stage may wait if no work was done for the request yet.
	 * @param index the index of the stage
	 * @param now the elapsed time
	 * @return the longest wait; empty if it may wait as long as its result is useful
	 */
	private Optional<Duration> longestWait(int index, Duration now) {
		boolean nothingDone = !this.again && this.results.values().stream().allMatch(List::isEmpty);
		return nothingDone ? this.plan.longestWait(index, this.target.minus(now)) : Optional.empty();
	}

	/**
	 * Returns the pool that keeps the inputs of a stage, if no other stage reads them.
	 * @param index the index of the stage that reads the inputs
	 * @return the pool; empty if the stage does not depend on exactly one stage, or if
	 * another stage reads the same results
	 */
	private Optional<PoolId> releasableInputPool(int index) {
		List<Integer> dependencies = this.route.stages().get(index).dependencies();
		if (dependencies.size() != 1) {
			return Optional.empty();
		}
		long readers = this.route.stages()
			.stream()
			.filter((other) -> other.dependencies().contains(dependencies.get(0)))
			.count();
		return (readers == 1) ? Optional.of(this.route.stages().get(dependencies.get(0)).pool()) : Optional.empty();
	}

	/**
	 * Returns whether the pieces of a stage read large inputs, or later stages read large
	 * amounts of their results, so that their availability zone matters for the traffic
	 * between zones.
	 * @param index the index of the stage
	 * @return whether the stage should run in the home zone of the request
	 */
	private boolean transfersMuchData(int index) {
		RouteStage stage = this.route.stages().get(index);
		long read = 0;
		for (int dependency : stage.dependencies()) {
			read += pieceCount(dependency) * this.route.stages().get(dependency).resultBytes() * pieceCount(index);
		}
		long readers = IntStream.range(0, this.route.stages().size())
			.filter((other) -> this.route.stages().get(other).dependencies().contains(index))
			.mapToLong(this::pieceCount)
			.sum();
		return Math.max(read, pieceCount(index) * stage.resultBytes() * Math.max(1, readers)) >= LARGE_DATA_BYTES;
	}

	private long pieceCount(int stage) {
		return (stage < this.request.pieces().size()) ? this.request.pieces().get(stage) : 0;
	}

	private void onGroupEnded(int index, PieceGroupResult result) {
		this.results.put(index, result.handles());
		if (this.ended) {
			releaseResults(index);
			return;
		}
		if (result.failure().isPresent()) {
			this.ended = true;
			release();
			this.done.accept(result.failure());
			return;
		}
		this.route.stages().get(index).dependencies().stream().filter(this::isFullyRead).forEach(this::releaseResults);
		startReadyStages();
	}

	private boolean isLast(int stage) {
		return this.route.stages().stream().noneMatch((other) -> other.dependencies().contains(stage));
	}

	private boolean isFullyRead(int stage) {
		return IntStream.range(0, this.route.stages().size())
			.filter((other) -> this.route.stages().get(other).dependencies().contains(stage))
			.allMatch(this.results::containsKey);
	}

	private void releaseResults(int stage) {
		List<ResultHandle> handles = this.results.getOrDefault(stage, List.of());
		if (!handles.isEmpty() && this.releasedStages.add(stage)) {
			this.context.pieces().free(this.route.stages().get(stage).pool(), handles);
		}
	}

}
