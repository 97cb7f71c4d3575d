package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;

import io.wagtailmux.decision.admission.Admission;
import io.wagtailmux.decision.admission.ChainPlan;
import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.placement.Placement;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.port.CallerRequest;
import io.wagtailmux.engine.port.ForwardedCall;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.engine.state.StopPlan;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.RequestKind;
import io.wagtailmux.model.serving.Route;
import io.wagtailmux.model.serving.ServingConfiguration;
import io.wagtailmux.model.serving.WeightedPool;

/**
 * Processing of one caller's request, from its complete body to the end of its response.
 *
 * <p>
 * The request is sent to a second endpoint only if it may run more than once, or if it is
 * proven that the first endpoint did not run it. When the caller disconnects, all work
 * started for the request is cancelled. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
public final class Exchange {

	/**
	 * Time that the timer waits beyond the deadline, so that the response of an endpoint
	 * that stops at the deadline can still arrive.
	 */
	private static final Duration DEADLINE_SLACK = Duration.ofMillis(40);

	/** Assumed delay until a request could be served, where there is no estimate. */
	private static final Duration ASSUMED_DELAY = Duration.ofMillis(150);

	/** Urgency sent to a model engine for requests of priority zero. */
	private static final int MOST_URGENT = 1;

	/** Largest urgency, as a number, that is sent to a model engine. */
	private static final int LEAST_URGENT = 9;

	/** By how much the urgency differs between one priority and the next. */
	private static final int URGENCY_STEP = 2;

	private final EngineContext context;

	private final CallerSink sink;

	private final HttpRequest head;

	private final ByteBuf body;

	private final Duration receivedAt;

	private final Set<EndpointId> tried = new HashSet<>();

	private CallerRequest request;

	private RouteMatch match;

	private RequestFingerprint fingerprint;

	private RequestSuspects suspects;

	private Route route;

	private PoolTraffic pool;

	private ChainPlanner planner;

	private RequestStages stages;

	private Duration deadline;

	private boolean trial;

	private boolean awaitingCall;

	private int calls;

	private boolean mayHaveRun;

	private Optional<ForwardCall> current = Optional.empty();

	private ResponseStream stream;

	private Future<?> deadlineTimer;

	private boolean ended;

	private boolean usageCounted;

	/**
	 * Creates the exchange for a request that was read completely.
	 * @param context the shared objects of the engine
	 * @param sink receives the response
	 * @param head the method, the path and the headers
	 * @param body the body; released by the exchange when the request ends
	 * @param receivedAt the elapsed time at which the head arrived
	 */
	public Exchange(EngineContext context, CallerSink sink, HttpRequest head, ByteBuf body, Duration receivedAt) {
		this.context = context;
		this.sink = sink;
		this.head = head;
		this.body = body;
		this.receivedAt = receivedAt;
	}

	/**
	 * Starts processing. The sink may be called before this method returns.
	 */
	public void start() {
		guard("start of a request", this::process);
	}

	/**
	 * Runs a step of the request. An error ends the request at once, so that its caller
	 * gets an answer, and what it holds is given back.
	 * @param task what the step does, for the log
	 * @param step the step
	 */
	void guard(String task, Runnable step) {
		if (this.context.errors().run(task, step) || this.ended) {
			return;
		}
		this.mayHaveRun |= this.calls > 0;
		if (!this.context.errors()
			.run("end of a failed request",
					() -> failWithoutAnswer(RejectionCode.INTERNAL_ERROR, "error in this instance"))) {
			this.sink.abort();
		}
	}

	private void process() {
		Optional<ServingConfiguration> configuration = this.context.state().view().configuration();
		if (configuration.isEmpty()) {
			reject(RejectionCode.NOT_READY, "no configuration received yet");
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
		admit(configuration.get());
	}

	/**
	 * Cancels all work for the request because the caller disconnected. Does nothing if
	 * the request has ended.
	 */
	public void onCallerDisconnected() {
		if (this.ended) {
			return;
		}
		this.context.metrics().recordAbandoned();
		finish(0, "left", "the caller closed its connection");
	}

	/**
	 * Ends the request if this instance stops before it can be answered. A request that
	 * no endpoint has is refused as soon as that is known, any other one when the answers
	 * of this instance end. Does nothing if the request has ended.
	 * @param plan when this instance stops
	 */
	public void onStopping(StopPlan plan) {
		if (!this.ended) {
			guard("end of a request at the shutdown", () -> endIfStopping(plan));
		}
	}

	private void endIfStopping(StopPlan plan) {
		if (plan.isOver(now())) {
			this.mayHaveRun |= this.current.isPresent();
			failWithoutAnswer(RejectionCode.STOPPING, "this instance stops before the answer");
			return;
		}
		if (this.awaitingCall) {
			rejectedAsStopping(this.stages.timeLeft());
		}
	}

	/**
	 * Ends a request that this instance is not expected to answer before it stops.
	 * @param expectedFinish the time from now until the answer is expected
	 * @return whether the request was ended
	 */
	private boolean rejectedAsStopping(Duration expectedFinish) {
		boolean stopping = this.context.state()
			.stopPlan()
			.filter((plan) -> plan.endsBefore(now(), expectedFinish))
			.isPresent();
		if (stopping) {
			reject(RejectionCode.STOPPING,
					"this instance may stop before the answer, expected in " + expectedFinish.toMillis() + " ms");
		}
		return stopping;
	}

	/**
	 * Pauses or resumes reading from the endpoint when the writability of the caller's
	 * connection changes.
	 * @param writable whether more content may be sent to the caller
	 */
	public void onWritabilityChanged(boolean writable) {
		this.current.ifPresent((call) -> call.setAutoRead(writable));
	}

	private void admit(ServingConfiguration configuration) {
		Duration timeout = this.request.remaining();
		if (this.route.timing().timeout().compareTo(timeout) < 0) {
			timeout = this.route.timing().timeout();
		}
		this.deadline = this.receivedAt.plus(timeout);
		this.fingerprint = RequestFingerprint.of(this.match.organisation(), this.head, this.body);
		if (this.context.state().stopPlan().filter((plan) -> plan.refuses(now(), this.deadline)).isPresent()) {
			reject(RejectionCode.STOPPING, "this instance may stop before the deadline");
			return;
		}
		this.stream = new ResponseStream(this.context, this.sink);
		int hash = this.request.attempt().value().hashCode();
		Optional<PoolId> chosen = this.route.choosePool(hash).map(WeightedPool::pool);
		Optional<PoolTraffic> found = chosen.flatMap(this.context.state()::pool);
		if (found.isEmpty()) {
			reject(RejectionCode.NO_ENDPOINT, chosen.map((id) -> "pool " + id + " is unknown")
				.orElse("all weights of route " + this.route.name() + " are zero"));
			return;
		}
		this.pool = found.get();
		this.pool.demand().recordArrival();
		this.suspects = new RequestSuspects(this.pool, stagePools(), this.context.crashWatch(), this.fingerprint,
				this.request.generation().sharedPartIds());
		if (refusedAsHarmful()) {
			return;
		}
		this.trial = this.pool.selectsNextForTrial();
		Duration target = this.receivedAt.plus(this.route.timing().target());
		this.planner = new ChainPlanner(this.context, this.route, this.request, this.pool, this.match.priority(),
				target);
		this.stages = new RequestStages(this.context, this.route, this.request, this.match.priority(), target,
				this.deadline, this.planner, this.fingerprint.value(),
				(failure) -> guard("end of the stages of a request", () -> onStagesEnded(failure)));
		ChainPlan plan = this.planner.plan();
		Optional<Duration> retryAfter = this.context.admission().evaluate(plan, remainingTargetTime(), remainingTime());
		if (retryAfter.isPresent()) {
			rejectAsCrowded(plan, retryAfter.get());
			return;
		}
		if (rejectedAsStopping(plan.expectedFinish())) {
			return;
		}
		if (rejectedAsUnavailable(plan.expectedFinish())) {
			return;
		}
		this.pool.namedLimits().recordDemand(now());
		Optional<Duration> excess = this.pool.namedLimits().excess(plan.expectedFinish(), now());
		if (excess.isPresent()) {
			rejectLimited(excess.get());
			return;
		}
		this.awaitingCall = true;
		this.pool.namedLimits().countAdmitted(1);
		this.context.log()
			.admitted(this.request.attempt(), this.route.name(), configuration.version(), remainingTime(),
					plan.expectedFinish(), this.request.generation().sharedParts(), this.fingerprint.value());
		Duration timerDelay = remainingTime().plus(DEADLINE_SLACK);
		this.deadlineTimer = this.context.loop()
			.schedule("deadline of a request", timerDelay, () -> guard("deadline of a request", this::onDeadline));
		this.pool.retryBudget().recordFirstCall(now());
		this.stages.run(plan);
	}

	/**
	 * Ends a request that has to wait too long for its stages.
	 * @param plan the expected times of the stages
	 * @param retryAfter when it may be accepted
	 */
	private void rejectAsCrowded(ChainPlan plan, Duration retryAfter) {
		this.pool.demand().recordRefusal();
		rejectRetryable(RejectionCode.OVERLOADED, retryAfter,
				"answer expected in " + plan.expectedFinish().toMillis() + " ms, milliseconds remaining: "
						+ remainingTime().toMillis() + ", until the target: " + remainingTargetTime().toMillis());
	}

	/**
	 * Excludes a request that failed once from the trial of a version, so that its retry
	 * goes to a proven version, unless the version on trial gets all requests.
	 */
	private void avoidTrialVersion() {
		this.trial &= this.pool.trialTakesAll();
	}

	private void onStagesEnded(Optional<PieceFailure> failure) {
		if (this.ended) {
			return;
		}
		if (failure.isEmpty()) {
			forward();
			return;
		}
		if (failure.get() == PieceFailure.INPUT_GONE && this.stages.runAgain()) {
			return;
		}
		if (failure.get() == PieceFailure.CROWDED && this.calls == 0) {
			ChainPlan plan = this.planner.plan();
			Admission admission = this.context.admission();
			rejectAsCrowded(plan, admission.evaluate(plan, remainingTargetTime(), remainingTime())
				.orElseGet(() -> admission.retryAfter(ASSUMED_DELAY)));
			return;
		}
		failWithoutAnswer(RejectionCode.STAGES_FAILED, "stage failed: " + failure.get());
	}

	/**
	 * Runs all stages again, after results that the endpoint needs were lost.
	 * @return whether the stages were started
	 */
	boolean retryStages() {
		return this.stages.runAgain();
	}

	private List<PoolTraffic> stagePools() {
		return this.route.stages()
			.stream()
			.flatMap((stage) -> this.context.state().pool(stage.pool()).stream())
			.distinct()
			.toList();
	}

	/**
	 * Ends the request if it or a part of its prompt crashes endpoints or may do so.
	 * @return whether the request was ended
	 */
	private boolean refusedAsHarmful() {
		Optional<RejectionException> rejection = this.suspects.rejection(now());
		rejection.ifPresent((found) -> failWithoutAnswer(found.code(), found.getMessage()));
		return rejection.isPresent();
	}

	/**
	 * Ends a request that no endpoint may get now because all of them name limits.
	 * @param now the elapsed time
	 * @return whether the request was ended
	 */
	private boolean rejectedByLimits(Duration now) {
		Optional<Duration> excess = (this.calls > 0) ? Optional.empty()
				: this.pool.namedLimits().excess(Duration.ZERO, now);
		excess.ifPresent(this::rejectLimited);
		return excess.isPresent();
	}

	/**
	 * Ends a request for which no endpoint of the pool will be usable in time, because
	 * all of them stay away or are leaving.
	 * @param delay the time after which the request would be sent
	 * @return whether the request was ended
	 */
	private boolean rejectedAsUnavailable(Duration delay) {
		Optional<Duration> away = this.pool.timeUntilUsable(now());
		if (away.filter((time) -> time.compareTo(delay) <= 0).isPresent()) {
			return false;
		}
		Duration excess = away.map((time) -> time.minus(delay)).orElse(ASSUMED_DELAY);
		rejectRetryable(RejectionCode.NO_ENDPOINT, this.context.admission().retryAfter(excess),
				away.isPresent() ? "all usable endpoints stay away, the first one for " + away.get().toMillis() + " ms"
						: "no usable endpoint is registered, or all are leaving");
		return true;
	}

	private void rejectLimited(Duration excess) {
		rejectRetryable(RejectionCode.LIMITED, this.context.admission().retryAfter(excess),
				"all endpoints of the pool name limits, which are used up");
	}

	private void stopAwaitingCall() {
		if (this.awaitingCall) {
			this.awaitingCall = false;
			this.pool.namedLimits().countAdmitted(-1);
		}
	}

	private void forward() {
		if (refusedAsHarmful()) {
			return;
		}
		Duration now = now();
		stopAwaitingCall();
		List<EndpointLoad> candidates = this.pool.candidates(this.trial, now);
		Optional<Placement> placement = this.pool.pool().engine().isPresent()
				? this.context.enginePlacement()
					.choose(candidates, this.tried, this.request.generation(), this.stages.inputBytes(),
							this.planner.homeZone(), now)
				: this.context.plainPlacement().choose(candidates, this.tried, now);
		if (placement.isEmpty() && rejectedByLimits(now)) {
			return;
		}
		if (placement.isEmpty() && !this.mayHaveRun && !this.stream.headSent()
				&& rejectedAsUnavailable(Duration.ZERO)) {
			return;
		}
		if (placement.isEmpty()) {
			failWithoutAnswer(RejectionCode.NO_ENDPOINT, candidates.size() + " of " + this.pool.endpoints().size()
					+ " endpoints usable, " + this.tried.size() + " already tried");
			return;
		}
		LiveEndpoint endpoint = this.pool.endpoint(placement.get().endpoint().id()).orElseThrow();
		this.calls++;
		this.tried.add(endpoint.entry().id());
		this.pool.onCallStarted(endpoint, now);
		this.context.metrics().recordCall(this.calls > 1);
		this.context.log().placed(this.request.attempt(), placement.get(), this.calls, remainingTime());
		ForwardCall call = new ForwardCall(this.context, this, endpoint);
		this.current = Optional.of(call);
		call.send();
		boolean queued = endpoint.load().outstandingRequests(now()) > endpoint.load().slots();
		this.stages.releaseOnceRead(queued, () -> this.current.filter(call::equals).isPresent());
	}

	/**
	 * Retries or ends the request after a call without a response that may be forwarded.
	 * @param call the failed call
	 * @param outcome how the call failed, for the log
	 * @param notRun whether the failure proves that the endpoint did not run the request
	 */
	void onCallFailed(ForwardCall call, String outcome, boolean notRun) {
		this.current = Optional.empty();
		this.mayHaveRun |= !notRun;
		avoidTrialVersion();
		boolean retry = mayRetry(notRun) && this.pool.retryBudget().tryAcquire(now());
		this.context.log()
			.callFailed(this.request.attempt(), call.endpoint().entry().id(), outcome, retry ? "next" : "give up");
		if (!retry) {
			failWithoutAnswer(RejectionCode.NO_ENDPOINT, outcome);
			return;
		}
		if (!retry()) {
			failWithoutAnswer(RejectionCode.STAGES_FAILED, "stages cannot run again");
		}
	}

	/**
	 * Handles a call that broke off, once it is known whether its endpoint has ended. If
	 * it has, the request is not sent to another endpoint: it was at one that ended
	 * before, or has a prompt part that was never answered, and may be the cause.
	 * @param call the failed call
	 * @param outcome how the call failed, for the log
	 * @param endpointEnded whether the endpoint's process has ended
	 */
	void onCallBroken(ForwardCall call, String outcome, boolean endpointEnded) {
		if (this.ended) {
			return;
		}
		if (!endpointEnded) {
			onCallFailed(call, outcome, false);
			return;
		}
		this.current = Optional.empty();
		this.mayHaveRun = true;
		this.context.log()
			.callFailed(this.request.attempt(), call.endpoint().entry().id(), outcome,
					"give up, the endpoint ended and may not bear the request");
		failWithoutAnswer(RejectionCode.NO_ENDPOINT, outcome);
	}

	/**
	 * Sends the request to another endpoint, after running the stages again if their
	 * results were released.
	 * @return false if the stages would have to run again and cannot
	 */
	private boolean retry() {
		if (this.stages.released()) {
			return this.stages.runAgain();
		}
		forward();
		return true;
	}

	/**
	 * Sends the request to another endpoint after an error response, if a retry is
	 * allowed.
	 * @param call the call with the error response
	 * @param outcome the error, for the log
	 * @return whether the request was retried; if not, the caller of this method forwards
	 * the error response
	 */
	boolean retryAfterError(ForwardCall call, String outcome) {
		if (!tryAcquireRetry()) {
			return false;
		}
		this.mayHaveRun = true;
		this.current = Optional.empty();
		this.context.log().callFailed(this.request.attempt(), call.endpoint().entry().id(), outcome, "next");
		retry();
		return true;
	}

	/**
	 * Cancels a call without a response and sends the request to another endpoint, if a
	 * retry is allowed.
	 * @param call the call without a response
	 * @param outcome how long the call has waited, for the log
	 * @return whether the request was retried; if not, the call continues
	 */
	boolean retryAfterTimeout(ForwardCall call, String outcome) {
		if (!tryAcquireRetry()) {
			return false;
		}
		call.cancel();
		this.mayHaveRun = true;
		this.current = Optional.empty();
		this.context.log().callFailed(this.request.attempt(), call.endpoint().entry().id(), outcome, "next");
		retry();
		return true;
	}

	private boolean tryAcquireRetry() {
		avoidTrialVersion();
		boolean untried = this.pool.candidates(this.trial, now())
			.stream()
			.anyMatch((candidate) -> !this.tried.contains(candidate.id()));
		return untried && this.stages.inputsAvailable() && mayRetry(false) && this.pool.retryBudget().tryAcquire(now());
	}

	/**
	 * Returns whether the request may be sent to another endpoint if the current one does
	 * not respond.
	 * @return whether the request may run more than once and its maximum number of
	 * endpoints is not reached
	 */
	boolean mayTryAnother() {
		return this.route.repeatable() && this.calls < this.route.maximumEndpoints();
	}

	private boolean mayRetry(boolean notRun) {
		boolean repeatable = notRun && !this.mayHaveRun || this.route.repeatable();
		boolean inTime = remainingTime().compareTo(Duration.ZERO) > 0;
		return repeatable && inTime && this.calls < this.route.maximumEndpoints();
	}

	/**
	 * Ends the request when there is no response to forward. If an endpoint may have run
	 * it, the caller gets {@link RejectionCode#UNKNOWN_OUTCOME} instead of the code. If a
	 * part of the response was sent already, the caller's connection is closed instead.
	 * @param code the reason if no endpoint ran the request
	 * @param why the details, for the log
	 */
	private void failWithoutAnswer(RejectionCode code, String why) {
		if (this.stream != null && this.stream.headSent()) {
			this.sink.abort();
			finish(200, "broken off", why);
			return;
		}
		if (this.mayHaveRun) {
			reject(RejectionCode.UNKNOWN_OUTCOME, why);
			return;
		}
		if (!code.retryable()) {
			reject(code, why);
			return;
		}
		rejectRetryable(code, this.context.admission().retryAfter(ASSUMED_DELAY), why);
	}

	private void onDeadline() {
		if (this.ended) {
			return;
		}
		boolean atEndpoint = this.current.isPresent() || this.mayHaveRun;
		this.current.ifPresent(ForwardCall::cancel);
		this.current = Optional.empty();
		if (this.stream.headSent()) {
			this.sink.abort();
			finish(200, "broken off", "deadline passed");
			return;
		}
		if (atEndpoint) {
			reject(RejectionCode.TIMED_OUT, "no response before the deadline");
			return;
		}
		rejectRetryable(RejectionCode.OVERLOADED, this.context.admission().retryAfter(ASSUMED_DELAY),
				"the stages did not end before the deadline");
	}

	/**
	 * Forwards a complete response and ends the request.
	 * @param status the HTTP status
	 * @param headers the headers that the endpoint sent
	 * @param answer the body; released by the sink
	 */
	void respond(int status, HttpHeaders headers, ByteBuf answer) {
		this.current = Optional.empty();
		this.sink.send(status, this.context.endpoints().responseHeaders(headers), answer);
		finish(status, "answered", "complete response");
	}

	/**
	 * Ends the request after the end of a complete stream.
	 */
	void onStreamEnded() {
		this.current = Optional.empty();
		this.sink.end();
		finish(200, "answered", "complete stream");
	}

	/**
	 * Handles the first event of a stream. The endpoint has read its inputs by then, so
	 * the results of the stages are released.
	 */
	void onFirstEvent() {
		this.context.metrics().recordFirstByte(now().minus(this.receivedAt));
		this.stages.release();
	}

	/**
	 * Counts the request for its organisation, once, since an endpoint has begun to run
	 * it.
	 */
	void countUsage() {
		if (this.usageCounted || this.match.organisation().isEmpty()) {
			return;
		}
		this.usageCounted = true;
		OrganisationId organisation = this.match.organisation().get();
		this.context.usage().ifPresent((counter) -> counter.record(organisation, now()));
	}

	RequestSuspects suspects() {
		return this.suspects;
	}

	ResponseStream stream() {
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

	Duration remainingTime() {
		return this.deadline.minus(now());
	}

	Duration remainingTargetTime() {
		return this.receivedAt.plus(this.route.timing().target()).minus(now());
	}

	ForwardedCall forwardedCall(LiveEndpoint endpoint) {
		List<ResultHandle> inputs = this.stages.inputs();
		Optional<String> lastEvent = this.stream.lastEventId().or(() -> this.request.lastEventId());
		return new ForwardedCall(endpoint.entry().id(), remainingTime(), this.match.organisation(), inputs, lastEvent,
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
				? Optional.of(this.context.admission().retryAfter(ASSUMED_DELAY)) : Optional.empty();
		this.sink.reject(code, retryAfter);
		finish(code.status(), code.name(), why);
	}

	private void rejectRetryable(RejectionCode code, Duration retryAfter, String why) {
		this.sink.reject(code, Optional.of(retryAfter));
		finish(code.status(), code.name(), why + ", retry after " + retryAfter.toMillis() + " ms");
	}

	private void finish(int status, String outcome, String why) {
		this.ended = true;
		stopAwaitingCall();
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		this.current.ifPresent(ForwardCall::cancel);
		this.current = Optional.empty();
		if (this.stages != null) {
			this.stages.release();
		}
		this.body.release();
		Duration elapsed = now().minus(this.receivedAt);
		this.context.metrics().recordRequest(status, elapsed);
		if (this.request != null) {
			this.context.log().ended(this.request.attempt(), status, outcome, elapsed, why);
		}
		else {
			this.context.log().notProcessed(status, why);
		}
	}

	private Duration now() {
		return this.context.time().elapsed();
	}

}
