package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;

import io.wagtailmux.decision.admission.ChainPlan;
import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.placement.InputBytes;
import io.wagtailmux.decision.placement.Placement;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.port.CallerRequest;
import io.wagtailmux.engine.port.ForwardedCall;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.stage.StageRun;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.RequestKind;
import io.wagtailmux.model.serving.Route;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * One caller's request, from its whole body to the end of its answer.
 *
 * <p>
 * It is sent to a second endpoint only if the request may run more than once, or upon
 * proof that the first one did not run it. A caller that leaves ends everything that was
 * begun for it.
 *
 * @author the wagtailmux developers
 */
public final class Exchange {

	/** The answer of an endpoint that stops at the deadline is on its way then. */
	private static final Duration DEADLINE_SLACK = Duration.ofMillis(40);

	/** An endpoint that has a place for a request reads its inputs at once. */
	private static final Duration INPUT_READING_TIME = Duration.ofMillis(60);

	private static final Duration NO_ENDPOINT_PAUSE = Duration.ofMillis(150);

	private static final int MOST_URGENT = 1;

	private static final int LEAST_URGENT = 9;

	private static final int URGENCY_STEP = 2;

	private final EngineContext context;

	private final CallerSink sink;

	private final HttpRequest head;

	private final ByteBuf body;

	private final Duration received;

	private final Set<EndpointId> tried = new HashSet<>();

	private CallerRequest request;

	private RouteMatch match;

	private Route route;

	private PoolTraffic pool;

	private ChainPlanner planner;

	private Duration deadline;

	private boolean trial;

	private Optional<StageRun> stages = Optional.empty();

	private int stageRuns;

	private int calls;

	private boolean mayHaveRun;

	private Optional<ForwardCall> current = Optional.empty();

	private AnswerStream stream;

	private Future<?> deadlineTimer;

	private boolean over;

	/**
	 * Creates the exchange of a request that was read.
	 * @param context what the engine works with
	 * @param sink where the answer goes
	 * @param head method, path and headers
	 * @param body the bytes; owned by the exchange
	 * @param received the elapsed time at which the head was there
	 */
	public Exchange(EngineContext context, CallerSink sink, HttpRequest head, ByteBuf body, Duration received) {
		this.context = context;
		this.sink = sink;
		this.head = head;
		this.body = body;
		this.received = received;
	}

	/**
	 * Begins to work on the request.
	 */
	public void start() {
		Optional<ServingConfiguration> configuration = this.context.state().view().configuration();
		if (configuration.isEmpty()) {
			reject(RejectionCode.NOT_READY, "no configuration is known yet");
			return;
		}
		try {
			this.request = this.context.callers().read(this.head);
			this.match = RouteMatch.find(configuration.get(), this.head, this.request);
			this.route = this.match.route();
		}
		catch (ProtocolException ex) {
			reject(RejectionCode.MALFORMED_REQUEST, ex.getMessage());
			return;
		}
		catch (RejectionException ex) {
			reject(ex.code(), ex.getMessage());
			return;
		}
		begin(configuration.get());
	}

	/**
	 * Takes note that the caller has left.
	 */
	public void onCallerDisconnected() {
		if (this.over) {
			return;
		}
		this.context.metrics().recordAbandoned();
		finish(0, "left", "the caller closed its connection");
	}

	/**
	 * Takes note that the caller reads again, or no longer.
	 * @param writable whether more may be written
	 */
	public void onWritabilityChanged(boolean writable) {
		this.current.ifPresent((call) -> call.read(writable));
	}

	private void begin(ServingConfiguration configuration) {
		Duration allowed = this.request.remaining();
		if (this.route.timing().timeout().compareTo(allowed) < 0) {
			allowed = this.route.timing().timeout();
		}
		this.deadline = this.received.plus(allowed);
		if (this.context.state()
			.stopPlan()
			.filter((plan) -> plan.endsBefore(this.received, this.deadline))
			.isPresent()) {
			reject(RejectionCode.STOPPING, "this instance ends before the deadline");
			return;
		}
		this.stream = new AnswerStream(this.context, this.sink);
		int hash = this.request.attempt().value().hashCode();
		Optional<PoolTraffic> found = this.context.state().pool(this.route.choosePool(hash).pool());
		if (found.isEmpty()) {
			reject(RejectionCode.NO_ENDPOINT, "pool " + this.route.choosePool(hash).pool() + " is unknown");
			return;
		}
		this.pool = found.get();
		this.trial = this.context.random().nextDouble() < this.pool.trialShare();
		this.planner = new ChainPlanner(this.context, this.route, this.request, this.pool);
		ChainPlan plan = this.planner.plan();
		Optional<Duration> refusal = this.context.admission().evaluate(plan.expectedFinish(), left());
		if (refusal.isPresent()) {
			refuse(RejectionCode.OVERLOADED, refusal.get(),
					"answer expected in " + plan.expectedFinish().toMillis() + " ms, left " + left().toMillis());
			return;
		}
		this.context.log()
			.admitted(this.request.attempt(), this.route.name(), configuration.version(), left(),
					plan.expectedFinish());
		Duration timerDelay = left().plus(DEADLINE_SLACK);
		this.deadlineTimer = this.context.loop()
			.schedule(this::deadlinePassed, timerDelay.toNanos(), TimeUnit.NANOSECONDS);
		this.pool.repeats().recordFirstCall(now());
		runStages(plan);
	}

	/**
	 * Has a request that failed once go on at a version that is known to be good.
	 */
	private void leaveTrial() {
		this.trial &= this.pool.trialShare() >= 1;
	}

	private void runStages(ChainPlan plan) {
		if (this.route.stages().isEmpty()) {
			forward();
			return;
		}
		this.stageRuns++;
		StageRun run = new StageRun(this.context, this.route, this.request, this.match.priority(), plan,
				this.received.plus(this.route.timing().target()), this.deadline, this.planner.homeZone(),
				this::stagesEnded);
		this.stages = Optional.of(run);
		run.start();
	}

	private void stagesEnded(Optional<PieceFailure> failure) {
		if (this.over) {
			return;
		}
		if (failure.isEmpty()) {
			forward();
			return;
		}
		if (failure.get() == PieceFailure.INPUT_GONE && repeatStages()) {
			return;
		}
		failWithoutAnswer(RejectionCode.STAGES_FAILED, "stage work: " + failure.get());
	}

	/**
	 * Runs all stages once more, after results that they need have gone.
	 * @return whether that was begun
	 */
	boolean repeatStages() {
		ChainPlan plan = this.planner.plan();
		if (!mayRepeatStages(plan)) {
			return false;
		}
		this.stages.ifPresent(StageRun::release);
		runStages(plan);
		return true;
	}

	private void forward() {
		Duration now = now();
		List<EndpointLoad> candidates = this.pool.candidates(this.trial, now);
		Optional<Placement> placement = this.pool.pool().engine().isPresent()
				? this.context.enginePlacement()
					.choose(candidates, this.tried, this.request.generation(),
							this.stages.map(StageRun::inputBytes).orElse(InputBytes.NONE), this.planner.homeZone(), now)
				: this.context.plainPlacement().choose(candidates, this.tried, now);
		if (placement.isEmpty()) {
			failWithoutAnswer(RejectionCode.NO_ENDPOINT, candidates.size() + " of " + this.pool.endpoints().size()
					+ " endpoints usable, " + this.tried.size() + " tried");
			return;
		}
		LiveEndpoint endpoint = this.pool.endpoint(placement.get().endpoint().id()).orElseThrow();
		this.calls++;
		this.tried.add(endpoint.entry().id());
		this.pool.taken(endpoint, now);
		this.context.metrics().recordCall(this.calls > 1);
		this.context.log().placed(this.request.attempt(), placement.get(), this.calls, left());
		ForwardCall call = new ForwardCall(this.context, this, endpoint);
		this.current = Optional.of(call);
		call.send();
		this.stages.ifPresent((run) -> giveUpInputsOnceRead(run, call));
	}

	/**
	 * Gives the results up that the endpoint reads before it begins: their room is scarce
	 * when load is high, and the first event comes much later. An endpoint that has no
	 * place for the request reads them later, and they stay until its first event.
	 * @param run the stages that made the results
	 * @param call the call whose endpoint reads them
	 */
	private void giveUpInputsOnceRead(StageRun run, ForwardCall call) {
		boolean waits = call.endpoint().load().outstandingRequests(now()) > call.endpoint().load().slots();
		if (waits || this.stageRuns > 1) {
			return;
		}
		this.context.loop().schedule(() -> {
			if (this.current.filter(call::equals).isPresent()) {
				run.release();
			}
		}, INPUT_READING_TIME.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Decides what follows a call that gave no answer that may be passed on.
	 * @param call the call
	 * @param outcome what was seen
	 * @param notRun whether that proves that the endpoint did not run the request
	 */
	void callFailed(ForwardCall call, String outcome, boolean notRun) {
		this.current = Optional.empty();
		this.mayHaveRun |= !notRun;
		leaveTrial();
		boolean again = mayRepeat(notRun) && this.pool.repeats().tryAcquire(now());
		this.context.log()
			.callFailed(this.request.attempt(), call.endpoint().entry().id(), outcome, again ? "next" : "give up");
		if (!again) {
			failWithoutAnswer(RejectionCode.NO_ENDPOINT, outcome);
			return;
		}
		if (!goOn()) {
			failWithoutAnswer(RejectionCode.STAGES_FAILED, "no time to run the stages again");
		}
	}

	/**
	 * Asks the next endpoint, after the stages have run again if their results were given
	 * up.
	 * @return whether there was time for that
	 */
	private boolean goOn() {
		if (this.stages.map(StageRun::released).orElse(false)) {
			return repeatStages();
		}
		forward();
		return true;
	}

	/**
	 * Sends the request to another endpoint after one answered with a failure of its own.
	 * @param call the call that was answered
	 * @param outcome what was seen
	 * @return whether that was done; if not, the failure is to be passed on
	 */
	boolean repeatAfterError(ForwardCall call, String outcome) {
		if (!takeRepeat()) {
			return false;
		}
		this.mayHaveRun = true;
		this.current = Optional.empty();
		this.context.log().callFailed(this.request.attempt(), call.endpoint().entry().id(), outcome, "next");
		goOn();
		return true;
	}

	/**
	 * Gives a silent endpoint up and asks another one.
	 * @param call the call without an answer
	 * @param outcome what was seen
	 * @return whether that was done; if not, the call goes on
	 */
	boolean moveOn(ForwardCall call, String outcome) {
		if (!takeRepeat()) {
			return false;
		}
		call.cancel();
		this.mayHaveRun = true;
		this.current = Optional.empty();
		this.context.log().callFailed(this.request.attempt(), call.endpoint().entry().id(), outcome, "next");
		goOn();
		return true;
	}

	private boolean takeRepeat() {
		leaveTrial();
		boolean elsewhere = this.pool.candidates(this.trial, now())
			.stream()
			.anyMatch((candidate) -> !this.tried.contains(candidate.id()));
		return elsewhere && inputsCanBeHad() && mayRepeat(false) && this.pool.repeats().tryAcquire(now());
	}

	private boolean inputsCanBeHad() {
		return !this.stages.map(StageRun::released).orElse(false) || mayRepeatStages(this.planner.plan());
	}

	private boolean mayRepeatStages(ChainPlan plan) {
		return this.stageRuns <= 1 && plan.expectedFinish().compareTo(left()) <= 0;
	}

	/**
	 * Tells whether another endpoint may be asked if this one is silent.
	 * @return whether the request may run again and has a call left
	 */
	boolean mayTryAnother() {
		return this.route.repeatable() && this.calls < this.route.maximumEndpoints();
	}

	private boolean mayRepeat(boolean notRun) {
		boolean allowed = notRun && !this.mayHaveRun || this.route.repeatable();
		boolean inTime = left().compareTo(Duration.ZERO) > 0;
		return allowed && inTime && this.calls < this.route.maximumEndpoints();
	}

	/**
	 * Ends the request although no endpoint's answer can be passed on.
	 * @param code why, if nothing ran
	 * @param why what was seen
	 */
	private void failWithoutAnswer(RejectionCode code, String why) {
		if (this.stream != null && this.stream.begun()) {
			this.sink.abort();
			finish(200, "broken off", why);
			return;
		}
		if (this.mayHaveRun) {
			reject(RejectionCode.UNKNOWN_OUTCOME, why);
			return;
		}
		refuse(code, this.context.admission().retryAfter(NO_ENDPOINT_PAUSE), why);
	}

	private void deadlinePassed() {
		if (this.over) {
			return;
		}
		boolean atEndpoint = this.current.isPresent() || this.mayHaveRun;
		this.current.ifPresent(ForwardCall::cancel);
		this.current = Optional.empty();
		if (this.stream.begun()) {
			this.sink.abort();
			finish(200, "broken off", "the time is over");
			return;
		}
		if (atEndpoint) {
			reject(RejectionCode.TIMED_OUT, "no answer before the deadline");
			return;
		}
		refuse(RejectionCode.OVERLOADED, this.context.admission().retryAfter(NO_ENDPOINT_PAUSE),
				"the stages did not end before the deadline");
	}

	/**
	 * Passes an endpoint's whole answer on.
	 * @param status its status
	 * @param headers its headers
	 * @param answer its body, owned by this method
	 */
	void answer(int status, HttpHeaders headers, ByteBuf answer) {
		this.current = Optional.empty();
		this.sink.send(status, this.context.endpoints().responseHeaders(headers), answer);
		finish(status, "answered", "whole answer");
	}

	/**
	 * Takes note that a stream is whole.
	 */
	void streamEnded() {
		this.current = Optional.empty();
		this.sink.end();
		finish(200, "answered", "whole stream");
	}

	/**
	 * Takes note of the first event of a stream: the endpoint has read what it needs.
	 */
	void firstEvent() {
		this.context.metrics().recordFirstByte(now().minus(this.received));
		this.stages.ifPresent(StageRun::release);
	}

	AnswerStream stream() {
		return this.stream;
	}

	HttpRequest head() {
		return this.head;
	}

	ByteBuf body() {
		return this.body;
	}

	CallerRequest request() {
		return this.request;
	}

	boolean streaming() {
		return this.route.kind() == RequestKind.STREAMING;
	}

	Route route() {
		return this.route;
	}

	PoolTraffic pool() {
		return this.pool;
	}

	Duration left() {
		return this.deadline.minus(now());
	}

	Duration untilTarget() {
		return this.received.plus(this.route.timing().target()).minus(now());
	}

	ForwardedCall description(LiveEndpoint endpoint) {
		List<ResultHandle> inputs = this.stages.map(StageRun::inputs).orElse(List.of());
		Optional<String> lastEvent = this.stream.lastId().or(() -> this.request.lastEventId());
		return new ForwardedCall(endpoint.entry().id(), left(), this.match.organisation(), inputs, lastEvent,
				urgency());
	}

	private OptionalInt urgency() {
		if (this.pool.pool().engine().isEmpty()) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(Math.min(LEAST_URGENT, MOST_URGENT + this.match.priority() * URGENCY_STEP));
	}

	private void reject(RejectionCode code, String why) {
		Optional<Duration> retryAfter = code.retryable()
				? Optional.of(this.context.admission().retryAfter(NO_ENDPOINT_PAUSE)) : Optional.empty();
		this.sink.reject(code, retryAfter);
		finish(code.status(), code.name(), why);
	}

	private void refuse(RejectionCode code, Duration retryAfter, String why) {
		this.sink.reject(code, Optional.of(retryAfter));
		finish(code.status(), code.name(), why + ", come back in " + retryAfter.toMillis() + " ms");
	}

	private void finish(int status, String outcome, String why) {
		this.over = true;
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		this.current.ifPresent(ForwardCall::cancel);
		this.current = Optional.empty();
		this.stages.ifPresent(StageRun::release);
		this.body.release();
		Duration took = now().minus(this.received);
		this.context.metrics().recordRequest(status, took);
		if (this.request != null) {
			this.context.log().ended(this.request.attempt(), status, outcome, took, why);
		}
		else {
			this.context.log().unreadable(status, why);
		}
	}

	private Duration now() {
		return this.context.time().elapsed();
	}

}
