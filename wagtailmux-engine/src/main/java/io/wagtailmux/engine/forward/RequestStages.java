package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.wagtailmux.decision.admission.ChainPlan;
import io.wagtailmux.decision.placement.InputBytes;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.port.CallerRequest;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.stage.StageRun;
import io.wagtailmux.model.serving.Route;

/**
 * The stages of one request, which run before it is forwarded and at most once more after
 * their results were lost or released. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class RequestStages {

	/** Time in which an endpoint with a free slot has read the inputs of a request. */
	private static final Duration INPUT_READ_TIME = Duration.ofMillis(60);

	private static final int MAXIMUM_RUNS = 2;

	private final EngineContext context;

	private final Route route;

	private final CallerRequest request;

	private final int priority;

	private final Duration target;

	private final Duration deadline;

	private final ChainPlanner planner;

	private final String suspect;

	private final Consumer<Optional<PieceFailure>> done;

	private Optional<StageRun> current = Optional.empty();

	private int runs;

	/**
	 * Creates the stages of a request; they do not run yet.
	 * @param context the shared objects of the engine
	 * @param route the route of the request
	 * @param request the values that the caller stated
	 * @param priority the priority of the request; zero is the most urgent
	 * @param target the elapsed time by which the response should start
	 * @param deadline the elapsed time after which the caller no longer waits
	 * @param planner estimates the times of the stages
	 * @param suspect the identity of the request as a suspect of crashes
	 * @param done accepts the end of each run: a failure, or empty if all stages
	 * succeeded
	 */
	RequestStages(EngineContext context, Route route, CallerRequest request, int priority, Duration target,
			Duration deadline, ChainPlanner planner, String suspect, Consumer<Optional<PieceFailure>> done) {
		this.context = context;
		this.route = route;
		this.request = request;
		this.priority = priority;
		this.target = target;
		this.deadline = deadline;
		this.planner = planner;
		this.suspect = suspect;
		this.done = done;
	}

	/**
	 * Starts the stages. The end may be reported before this method returns, and is at
	 * once if the route has no stages.
	 * @param plan the expected times of the stages
	 */
	void run(ChainPlan plan) {
		if (this.route.stages().isEmpty()) {
			this.done.accept(Optional.empty());
			return;
		}
		this.runs++;
		StageRun run = new StageRun(this.context, this.route, this.request, this.priority, plan, this.target,
				this.deadline, this.runs > 1, this.planner.homeZone(), this.suspect, this.done);
		this.current = Optional.of(run);
		run.start();
	}

	/**
	 * Runs all stages again, after results that are needed were lost or released.
	 * @return whether the stages were started; false if they ran twice already or would
	 * not end before the deadline
	 */
	boolean runAgain() {
		ChainPlan plan = this.planner.plan();
		if (!mayRunAgain(plan)) {
			return false;
		}
		release();
		run(plan);
		return true;
	}

	/**
	 * Returns whether the request could be sent to another endpoint.
	 * @return whether the results are kept, or can be produced again in time
	 */
	boolean inputsAvailable() {
		return !released() || mayRunAgain(this.planner.plan());
	}

	/**
	 * Returns whether the results of the last run were released.
	 * @return whether endpoints can no longer read them
	 */
	boolean released() {
		return this.current.map(StageRun::released).orElse(false);
	}

	/**
	 * Cancels what has not ended and releases all results.
	 */
	void release() {
		this.current.ifPresent(StageRun::release);
	}

	/**
	 * Returns when the answer is expected at the earliest.
	 * @return the time from now, by the present waits of the stages that have not started
	 */
	Duration timeLeft() {
		Set<Integer> ended = this.current.map(StageRun::endedStages).orElse(Set.of());
		return this.planner.plan().timeLeft(ended);
	}

	List<ResultHandle> inputs() {
		return this.current.map(StageRun::inputs).orElse(List.of());
	}

	InputBytes inputBytes() {
		return this.current.map(StageRun::inputBytes).orElse(InputBytes.NONE);
	}

	/**
	 * Releases the results once the endpoint has read them, which it does before it
	 * starts the request: memory for results is scarce under high load, and the first
	 * event comes much later. An endpoint without a free slot reads them later, so they
	 * are kept until its first event, and so are the results of a second run, after which
	 * the stages do not run again.
	 * @param queued whether the endpoint has no free slot
	 * @param stillCalled returns whether the call that reads the results still lasts
	 */
	void releaseOnceRead(boolean queued, BooleanSupplier stillCalled) {
		if (queued || this.runs != 1) {
			return;
		}
		StageRun run = this.current.orElseThrow();
		this.context.loop().schedule("release of inputs", INPUT_READ_TIME, () -> {
			if (stillCalled.getAsBoolean()) {
				run.release();
			}
		});
	}

	private boolean mayRunAgain(ChainPlan plan) {
		Duration remaining = this.deadline.minus(this.context.time().elapsed());
		return this.runs < MAXIMUM_RUNS && plan.expectedFinish().compareTo(remaining) <= 0;
	}

}
