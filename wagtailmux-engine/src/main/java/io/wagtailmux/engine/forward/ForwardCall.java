package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;

import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.placement.EnginePlacement;
import io.wagtailmux.decision.rollout.StreamPace;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.CallFailure;
import io.wagtailmux.engine.http.ClientCall;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.http.ResponseListener;
import io.wagtailmux.engine.port.EndpointAnswer;
import io.wagtailmux.engine.state.LiveEndpoint;

/**
 * Call of one endpoint with a request. Records the result for the endpoint's load and
 * version, and reports it to the {@link Exchange}. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class ForwardCall implements ResponseListener {

	/**
	 * Maximum idle time of a connection for requests that must not run twice. The
	 * endpoint may close a connection that was idle for longer just as the request is
	 * sent.
	 */
	private static final Duration NON_REPEATABLE_MAXIMUM_IDLE_TIME = Duration.ofMillis(1500);

	private static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(30);

	/**
	 * Time that a call waits beyond the deadline, so that the response of an endpoint
	 * that stops at the deadline can still arrive.
	 */
	private static final Duration DEADLINE_SLACK = Duration.ofMillis(20);

	/** Multiple of the usual service time for {@link #retryTimeout()}. */
	private static final int RETRY_TIMEOUT_FACTOR = 5;

	/**
	 * A part of a prompt that crashes endpoints does so when they begin to answer;
	 * streams that last longer than this after their first event have not done it.
	 */
	private static final Duration SURVIVAL_TIME = Duration.ofSeconds(1);

	private static final Duration MINIMUM_RETRY_TIMEOUT = Duration.ofMillis(80);

	/** Status of an endpoint that did not run a request whose stage results are gone. */
	private static final int CONFLICT = 409;

	/** Status of an endpoint other than the one that the request is meant for. */
	private static final int MISDIRECTED = 421;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

	private final EngineContext context;

	private final Exchange exchange;

	private final LiveEndpoint endpoint;

	private final CompositeByteBuf body = Unpooled.compositeBuffer(64);

	private final Duration startedAt;

	private final ResponseMemory.Reservation memory;

	private long pendingPrefillTokens;

	private ClientCall call;

	private Future<?> retryTimer;

	private EndpointAnswer answer;

	private HttpHeaders headers;

	private boolean firstByteReceived;

	private Duration firstEventAt = Duration.ZERO;

	private int eventsAtFirst;

	private boolean slow;

	private boolean harmless;

	private boolean counted;

	private boolean ended;

	ForwardCall(EngineContext context, Exchange exchange, LiveEndpoint endpoint) {
		this.context = context;
		this.exchange = exchange;
		this.endpoint = endpoint;
		this.startedAt = context.time().elapsed();
		this.memory = context.responseMemory().newReservation();
	}

	LiveEndpoint endpoint() {
		return this.endpoint;
	}

	boolean firstByteReceived() {
		return this.firstByteReceived;
	}

	void send() {
		long uncachedTokens = EnginePlacement.uncachedTokens(load(), this.exchange.request().generation());
		load().onCallStarted(uncachedTokens);
		this.pendingPrefillTokens = uncachedTokens;
		this.counted = true;
		this.exchange.pool().demand().changeBusy(1);
		boolean repeatable = this.exchange.route().repeatable();
		OutgoingRequest request = OutgoingRequest.of(this.exchange.head().method(), this.exchange.head().uri())
			.headers(this.context.endpoints()
				.requestHeaders(this.exchange.head().headers(), this.exchange.forwardedCall(this.endpoint)))
			.body(this.exchange.body())
			.timeout(this.exchange.remainingTime().plus(DEADLINE_SLACK))
			.streamed()
			.repeatable(repeatable)
			.onlyIf(() -> this.endpoint.usable(now()))
			.maxIdleTime(repeatable ? MAXIMUM_IDLE_TIME : NON_REPEATABLE_MAXIMUM_IDLE_TIME)
			.responseFilter(this::isOwn)
			.build();
		if (this.exchange.mayTryAnother()) {
			this.retryTimer = this.context.loop()
				.schedule("retry after a time", retryTimeout(),
						() -> this.exchange.guard("retry after a time", this::onRetryTimeout));
		}
		this.call = this.context.client().send(this.endpoint.destination(), request, this);
	}

	/**
	 * Returns whether an answer belongs to the request. Logs one that does not say so.
	 * @param response the head of the answer
	 * @return whether it is used
	 */
	private boolean isOwn(HttpResponse response) {
		boolean own = this.context.endpoints().isResponseTo(response, this.exchange.request().attempt());
		if (!own) {
			this.context.log()
				.answerNotNamingRequest(this.exchange.request().attempt(), this.endpoint.entry().id(),
						response.status().code(), this.context.endpoints().namedAttempts(response));
		}
		return own;
	}

	void cancel() {
		if (this.ended) {
			return;
		}
		markEnded();
		if (this.call != null) {
			recordAbandonedCall();
		}
		this.body.release();
		if (this.call != null) {
			this.call.cancel();
		}
	}

	void setAutoRead(boolean reading) {
		if (this.call != null) {
			this.call.setAutoRead(reading);
		}
	}

	@Override
	public void onHead(HttpResponse response) {
		cancelRetryTimer();
		this.answer = this.context.endpoints().read(response, Optional.of(this.exchange.request().attempt()));
		this.headers = response.headers();
		this.context.statements().record(this.endpoint, this.answer, this.exchange.request().attempt().value(), now());
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.ended) {
			return;
		}
		if (this.exchange.streaming() && this.answer.success()) {
			forwardEvents(content);
			return;
		}
		this.body.addComponent(true, content.retain());
		if (!this.memory.hold(this.body.readableBytes())) {
			abandon("no memory for a response body of " + this.body.readableBytes() + " bytes");
		}
	}

	/**
	 * Gives up a response that does not end, or that is not one.
	 * @param why what was received, for the log
	 */
	private void abandon(String why) {
		cancel();
		load().recordFailure(now());
		this.exchange.stream().dropPartialEvent();
		this.exchange.onCallFailed(this, why, false);
	}

	@Override
	public void onEnd() {
		if (!this.ended) {
			this.exchange.guard("end of a response", this::processEnd);
		}
	}

	private void processEnd() {
		markEnded();
		if (this.answer.notRun() || this.answer.status() == MISDIRECTED) {
			onNotRun();
			return;
		}
		boolean failed = this.answer.status() >= FIRST_SERVER_ERROR;
		if (!failed && !this.answer.success() && this.answer.status() < 300) {
			failCall("response unsigned or with a content encoding, status " + this.answer.status());
			return;
		}
		recordAnswer(!failed);
		if (!this.exchange.streaming()) {
			recordHarmless();
		}
		if (this.exchange.streaming() && this.answer.success()) {
			endStream();
			return;
		}
		if (failed && this.exchange.retryAfterError(this, "status " + this.answer.status())) {
			this.body.release();
			return;
		}
		forwardAnswer();
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		if (!this.ended) {
			this.exchange.guard("failure of a call", () -> processFailure(failure, failure + ": " + detail));
		}
	}

	private void processFailure(CallFailure failure, String outcome) {
		markEnded();
		load().recordFailure(now());
		this.body.release();
		this.exchange.stream().dropPartialEvent();
		if (failure.provesNotRun()) {
			this.exchange.onCallFailed(this, outcome, true);
			return;
		}
		failBroken(outcome);
	}

	/**
	 * Ends a call whose endpoint may have ended, too. Whether the request is repeated may
	 * depend on that.
	 * @param outcome how the call failed, for the log
	 */
	private void failBroken(String outcome) {
		List<String> suspects = this.harmless ? List.of() : this.exchange.suspects().ids();
		boolean waits = !suspects.isEmpty() && this.exchange.suspects().mayHaveCrashedEndpoint();
		this.context.crashWatch()
			.onCallBroken(this.exchange.pool(), this.endpoint, suspects, this.startedAt, (endpointEnded) -> {
				if (waits) {
					this.exchange.guard("broken call", () -> this.exchange.onCallBroken(this, outcome, endpointEnded));
				}
			});
		if (!waits) {
			this.exchange.onCallFailed(this, outcome, false);
		}
	}

	/**
	 * Records once that the endpoint survived the request, so that neither the request
	 * nor a part of its prompt crashes endpoints.
	 */
	private void recordHarmless() {
		if (!this.harmless) {
			this.harmless = true;
			this.exchange.suspects().recordHarmless(this.startedAt, now());
		}
	}

	private void forwardEvents(ByteBuf content) {
		boolean first = this.exchange.stream().add(this.answer.status(), this.headers, content);
		if (!this.firstByteReceived && this.exchange.stream().headSent()) {
			this.firstByteReceived = true;
			onPrefillEnded();
			recordAnswer(true);
			this.firstEventAt = now();
			this.eventsAtFirst = this.exchange.stream().completeEvents();
			load().promptCache().add(this.exchange.request().generation().parts());
		}
		recordIfSlow();
		if (this.firstByteReceived && now().minus(this.firstEventAt).compareTo(SURVIVAL_TIME) >= 0) {
			recordHarmless();
		}
		if (first) {
			this.exchange.onFirstEvent();
		}
		if (this.ended) {
			return;
		}
		int partialBytes = this.exchange.stream().partialBytes();
		if (partialBytes > MAXIMUM_EVENT_BYTES || !this.memory.hold(partialBytes)) {
			abandon("no end of an event after " + partialBytes + " bytes");
		}
	}

	/**
	 * Records the stream as slow as soon as it is, since a slow stream may last longer
	 * than the trial of its version.
	 */
	private void recordIfSlow() {
		if (!this.slow && this.firstByteReceived) {
			this.slow = this.exchange.pool().recordIfSlow(this.endpoint, this.exchange.route().name(), pace());
		}
	}

	private StreamPace pace() {
		return new StreamPace(now().minus(this.firstEventAt),
				this.exchange.stream().completeEvents() - this.eventsAtFirst);
	}

	private void endStream() {
		this.body.release();
		if (this.exchange.stream().end(this.answer.status(), this.headers)) {
			recordStream();
			recordHarmless();
			this.exchange.onStreamEnded();
			return;
		}
		this.exchange.stream().dropPartialEvent();
		failBroken("stream ended within an event");
	}

	private void onNotRun() {
		this.body.release();
		if (this.answer.status() == MISDIRECTED) {
			load().recordFailure(now());
		}
		if (this.answer.status() == CONFLICT && this.exchange.retryStages()) {
			return;
		}
		this.exchange.onCallFailed(this, "not run, status " + this.answer.status(), true);
	}

	private void failCall(String outcome) {
		recordAnswer(false);
		this.body.release();
		this.exchange.onCallFailed(this, outcome, false);
	}

	private void forwardAnswer() {
		if (this.exchange.stream().headSent()) {
			this.body.release();
			this.exchange.onCallFailed(this, "status " + this.answer.status() + " when resuming a stream", false);
			return;
		}
		if (RefusalStatus.isRefusal(this.answer.status())) {
			this.body.release();
			this.exchange.onCallFailed(this, "status " + this.answer.status() + " without proof that it did not run",
					false);
			return;
		}
		this.exchange.respond(this.answer.status(), this.headers, this.body);
	}

	/**
	 * Tries another endpoint because this one has not responded in time. If no other is
	 * available or no retry is allowed, the call continues.
	 */
	private void onRetryTimeout() {
		if (!this.ended && this.exchange.retryAfterTimeout(this,
				"no response for " + now().minus(this.startedAt).toMillis() + " ms")) {
			load().recordFailure(now());
		}
	}

	private void cancelRetryTimer() {
		if (this.retryTimer != null) {
			this.retryTimer.cancel(false);
		}
	}

	/**
	 * Returns how long to wait for the head of the response before another endpoint is
	 * tried.
	 * @return the multiple of the endpoint's usual service time or the time left to the
	 * route's latency target, whichever is larger, but not less than the minimum
	 */
	private Duration retryTimeout() {
		Duration multiple = load().serviceTime(now()).multipliedBy(RETRY_TIMEOUT_FACTOR);
		Duration remainingTargetTime = this.exchange.remainingTargetTime();
		Duration timeout = (multiple.compareTo(remainingTargetTime) > 0) ? multiple : remainingTargetTime;
		return (timeout.compareTo(MINIMUM_RETRY_TIMEOUT) > 0) ? timeout : MINIMUM_RETRY_TIMEOUT;
	}

	/**
	 * Records a response, and its time, for the endpoint and for its version.
	 * @param success whether the response was no failure
	 */
	private void recordAnswer(boolean success) {
		if (this.firstByteReceived || !this.exchange.streaming()) {
			this.exchange.countUsage();
		}
		Duration elapsed = now().minus(this.startedAt);
		load().recordAnswer(success, elapsed, now());
		this.exchange.pool().recordAnswer(this.endpoint, this.exchange.route().name(), success, elapsed);
	}

	private void recordStream() {
		if (this.firstByteReceived && !this.slow) {
			this.exchange.pool().recordStream(this.endpoint, this.exchange.route().name(), pace());
		}
	}

	private void recordAbandonedCall() {
		if (this.firstByteReceived) {
			recordIfSlow();
		}
		else if (!this.context.links().cutOff()) {
			this.exchange.pool()
				.recordAbandonedCall(this.endpoint, this.exchange.route().name(), now().minus(this.startedAt));
		}
	}

	private void markEnded() {
		this.ended = true;
		cancelRetryTimer();
		this.memory.hold(0);
		if (this.counted) {
			onPrefillEnded();
			load().onCallEnded();
			this.exchange.pool().demand().changeBusy(-1);
		}
	}

	private void onPrefillEnded() {
		load().onPrefillEnded(this.pendingPrefillTokens);
		this.pendingPrefillTokens = 0;
	}

	private EndpointLoad load() {
		return this.endpoint.load();
	}

	private Duration now() {
		return this.context.time().elapsed();
	}

}
