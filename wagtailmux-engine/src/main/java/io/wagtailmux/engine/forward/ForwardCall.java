package io.wagtailmux.engine.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;

import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.placement.EnginePlacement;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.CallFailure;
import io.wagtailmux.engine.http.ClientCall;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.http.ResponseListener;
import io.wagtailmux.engine.port.EndpointAnswer;
import io.wagtailmux.engine.state.LiveEndpoint;

/**
 * One call of a request to one endpoint.
 *
 * @author the wagtailmux developers
 */
final class ForwardCall implements ResponseListener {

	/** A connection that was idle for longer may be closed while a request is sent. */
	private static final Duration FRESHNESS_OF_SINGLE_RUNS = Duration.ofMillis(1500);

	private static final Duration FRESHNESS = Duration.ofSeconds(30);

	/** The answer of an endpoint that stops at the deadline is on its way then. */
	private static final Duration DEADLINE_SLACK = Duration.ofMillis(20);

	/** How many times its usual time an endpoint may take before another is asked. */
	private static final int PATIENCE_FACTOR = 5;

	private static final Duration LEAST_PATIENCE = Duration.ofMillis(80);

	private static final int MAXIMUM_BUFFERED_BYTES = 16 << 20;

	private static final int CONFLICT = 409;

	private static final int MISDIRECTED = 421;

	private static final int FIRST_ERROR = 500;

	private final EngineContext context;

	private final Exchange exchange;

	private final LiveEndpoint endpoint;

	private final CompositeByteBuf body = Unpooled.compositeBuffer(64);

	private final Duration started;

	private long unreadTokens;

	private ClientCall call;

	private Future<?> patience;

	private EndpointAnswer answer;

	private HttpHeaders headers;

	private boolean heardFirstByte;

	private boolean over;

	ForwardCall(EngineContext context, Exchange exchange, LiveEndpoint endpoint) {
		this.context = context;
		this.exchange = exchange;
		this.endpoint = endpoint;
		this.started = context.time().elapsed();
	}

	LiveEndpoint endpoint() {
		return this.endpoint;
	}

	boolean heardFirstByte() {
		return this.heardFirstByte;
	}

	void send() {
		this.unreadTokens = EnginePlacement.uncachedTokens(load(), this.exchange.request().generation());
		load().onCallStarted(this.unreadTokens);
		boolean repeatable = this.exchange.route().repeatable();
		OutgoingRequest request = OutgoingRequest.of(this.exchange.head().method(), this.exchange.head().uri())
			.headers(this.context.endpoints()
				.requestHeaders(this.exchange.head().headers(), this.exchange.description(this.endpoint)))
			.body(this.exchange.body())
			.timeout(this.exchange.left().plus(DEADLINE_SLACK))
			.maxIdleTime(repeatable ? FRESHNESS : FRESHNESS_OF_SINGLE_RUNS)
			.responseFilter(
					(response) -> this.context.endpoints().isResponseTo(response, this.exchange.request().attempt()))
			.build();
		if (this.exchange.mayTryAnother()) {
			this.patience = this.context.loop()
				.schedule(this::patienceOver, patience().toNanos(), TimeUnit.NANOSECONDS);
		}
		this.call = this.context.client().send(this.endpoint.destination(), request, this);
	}

	void cancel() {
		if (!this.over && this.call != null) {
			settle();
			abandoned();
			this.body.release();
			this.call.cancel();
		}
	}

	void read(boolean reading) {
		if (this.call != null) {
			this.call.setAutoRead(reading);
		}
	}

	@Override
	public void onHead(HttpResponse response) {
		stopPatience();
		this.answer = this.context.endpoints().read(response, Optional.of(this.exchange.request().attempt()));
		this.headers = response.headers();
		this.answer.load().ifPresent((load) -> load().updateReportedLoad(load.running(), load.waiting(), now()));
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.over) {
			return;
		}
		if (this.exchange.streaming() && this.answer.success()) {
			passOn(content);
			return;
		}
		this.body.addComponent(true, content.retain());
		if (this.body.readableBytes() > MAXIMUM_BUFFERED_BYTES) {
			cancel();
			this.exchange.callFailed(this, "answer above " + MAXIMUM_BUFFERED_BYTES + " bytes", false);
		}
	}

	@Override
	public void onEnd() {
		if (this.over) {
			return;
		}
		settle();
		if (this.answer.notRun() || this.answer.status() == MISDIRECTED) {
			notRun();
			return;
		}
		boolean failed = this.answer.status() >= FIRST_ERROR;
		if (!failed && !this.answer.success() && this.answer.status() < 300) {
			broke("answer without proof or with another encoding, status " + this.answer.status());
			return;
		}
		judge(!failed);
		if (this.exchange.streaming() && this.answer.success()) {
			endStream();
			return;
		}
		if (failed && this.exchange.repeatAfterError(this, "status " + this.answer.status())) {
			this.body.release();
			return;
		}
		passOnWhole();
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		if (this.over) {
			return;
		}
		settle();
		load().recordFailure(now());
		this.body.release();
		this.exchange.stream().cut();
		this.exchange.callFailed(this, failure + ": " + detail, failure.provesNotRun());
	}

	private void passOn(ByteBuf content) {
		boolean first = this.exchange.stream().add(this.answer.status(), this.headers, content);
		if (!this.heardFirstByte && this.exchange.stream().begun()) {
			this.heardFirstByte = true;
			promptRead();
			judge(true);
			load().promptCache().add(this.exchange.request().generation().parts());
		}
		if (first) {
			this.exchange.firstEvent();
		}
	}

	private void endStream() {
		this.body.release();
		if (this.exchange.stream().end(this.answer.status(), this.headers)) {
			this.exchange.streamEnded();
			return;
		}
		this.exchange.stream().cut();
		this.exchange.callFailed(this, "the stream ended within an event", false);
	}

	private void notRun() {
		this.body.release();
		if (this.answer.status() == MISDIRECTED) {
			load().recordFailure(now());
		}
		if (this.answer.status() == CONFLICT && this.exchange.repeatStages()) {
			return;
		}
		this.exchange.callFailed(this, "not run, status " + this.answer.status(), true);
	}

	private void broke(String outcome) {
		judge(false);
		this.body.release();
		this.exchange.callFailed(this, outcome, false);
	}

	private void passOnWhole() {
		if (this.exchange.stream().begun()) {
			this.body.release();
			this.exchange.callFailed(this, "status " + this.answer.status() + " for the rest of a stream", false);
			return;
		}
		if (RefusalStatus.isRefusal(this.answer.status())) {
			this.body.release();
			this.exchange.callFailed(this, "status " + this.answer.status() + " without proof that it did not run",
					false);
			return;
		}
		this.exchange.answer(this.answer.status(), this.headers, this.body);
	}

	/**
	 * Asks another endpoint if this one is silent for longer than it usually takes. If
	 * there is none, or no repeat is left, the answer is waited for.
	 */
	private void patienceOver() {
		if (!this.over && this.exchange.moveOn(this, "no answer for " + now().minus(this.started).toMillis() + " ms")) {
			load().recordFailure(now());
		}
	}

	private void stopPatience() {
		if (this.patience != null) {
			this.patience.cancel(false);
		}
	}

	private Duration patience() {
		Duration usual = load().serviceTime(now()).multipliedBy(PATIENCE_FACTOR);
		Duration untilTarget = this.exchange.untilTarget();
		Duration patience = (usual.compareTo(untilTarget) > 0) ? usual : untilTarget;
		return (patience.compareTo(LEAST_PATIENCE) > 0) ? patience : LEAST_PATIENCE;
	}

	/**
	 * Takes note of an answer in what is known of the endpoint and of its version.
	 * @param success whether it was no failure
	 */
	private void judge(boolean success) {
		Duration took = now().minus(this.started);
		load().recordAnswer(success, took, now());
		this.exchange.pool().recordAnswer(this.endpoint, this.exchange.route().name(), success, took);
	}

	private void abandoned() {
		if (!this.heardFirstByte) {
			this.exchange.pool()
				.recordAbandonedCall(this.endpoint, this.exchange.route().name(), now().minus(this.started));
		}
	}

	private void settle() {
		this.over = true;
		stopPatience();
		promptRead();
		load().onCallEnded();
	}

	private void promptRead() {
		load().onPrefillEnded(this.unreadTokens);
		this.unreadTokens = 0;
	}

	private EndpointLoad load() {
		return this.endpoint.load();
	}

	private Duration now() {
		return this.context.time().elapsed();
	}

}
