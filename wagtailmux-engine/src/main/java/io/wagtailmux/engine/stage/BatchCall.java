package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

import io.wagtailmux.decision.stage.BatchOutcome;
import io.wagtailmux.decision.stage.PieceBatch;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.CallFailure;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.http.ResponseListener;
import io.wagtailmux.engine.port.EndpointAnswer;
import io.wagtailmux.engine.port.PieceOrder;
import io.wagtailmux.engine.port.PieceOutcome;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * One call to an endpoint that executes a batch of pieces. Used for one call only, on the
 * traffic thread.
 *
 * @author the wagtailmux developers
 */
final class BatchCall implements ResponseListener {

	/**
	 * A call fails if its response is not complete after {@link #MINIMUM_TIMEOUT} plus
	 * this multiple of its expected time.
	 */
	private static final int TIMEOUT_FACTOR = 4;

	private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(500);

	private static final int MAXIMUM_RESPONSE_BYTES = 1 << 20;

	/** Status of an endpoint other than the one that the call is meant for. */
	private static final int MISDIRECTED = 421;

	private final EngineContext context;

	private final LiveEndpoint endpoint;

	private final PieceBatch batch;

	private final OutcomeListener listener;

	private final CompositeByteBuf body = Unpooled.compositeBuffer();

	private Duration startedAt = Duration.ZERO;

	private int sentBytes;

	private EndpointAnswer answer;

	private Optional<CallFailure> failure = Optional.empty();

	private boolean handedOver;

	private boolean ended;

	BatchCall(EngineContext context, LiveEndpoint endpoint, PieceBatch batch, OutcomeListener listener) {
		this.context = context;
		this.endpoint = endpoint;
		this.batch = batch;
		this.listener = listener;
	}

	void send(List<PieceOrder> orders, BatchCapacity capacity) {
		this.startedAt = this.context.time().elapsed();
		Duration timeout = MINIMUM_TIMEOUT.plus(capacity.expectedTime(orders.size()).multipliedBy(TIMEOUT_FACTOR));
		OutgoingRequest request = this.context.endpoints()
			.pieces(this.endpoint.entry().id(), orders)
			.timeout(timeout)
			.maximumResponseBytes(MAXIMUM_RESPONSE_BYTES)
			.ownConnection()
			.repeatable(true)
			.onlyIf(() -> this.endpoint.usable(this.context.time().elapsed()))
			.build();
		this.sentBytes = request.bodyBytes();
		this.handedOver = true;
		this.context.client().send(this.endpoint.destination(), request, this);
	}

	/**
	 * Ends the call after an error of this instance while it was being sent, so that its
	 * endpoint is free again. What comes of a call that was sent nevertheless is ignored.
	 */
	void abandon() {
		onFailure(this.handedOver ? CallFailure.CANCELLED : CallFailure.NOT_SENT, "error in this instance");
	}

	PieceBatch batch() {
		return this.batch;
	}

	/**
	 * Returns the size of the request that was sent.
	 * @return the bytes of its body
	 */
	int sentBytes() {
		return this.sentBytes;
	}

	LiveEndpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Returns how the call ended without an answer although the endpoint may have read
	 * it, so that it may have ended the endpoint.
	 * @return empty if it was answered or was certainly not sent
	 */
	Optional<CallFailure> brokenOff() {
		return this.failure.filter((found) -> !found.provesNotRun());
	}

	Duration startedAt() {
		return this.startedAt;
	}

	Duration elapsed(Duration now) {
		return now.minus(this.startedAt);
	}

	@Override
	public void onHead(HttpResponse response) {
		this.answer = this.context.endpoints().read(response, Optional.empty());
		this.context.statements().record(this.endpoint, this.answer, "pieces", this.context.time().elapsed());
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.ended) {
			return;
		}
		this.body.addComponent(true, content.retain());
	}

	@Override
	public void onEnd() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		List<PieceOutcome> pieceOutcomes = new ArrayList<>();
		BatchOutcome outcome = outcome();
		if (outcome != BatchOutcome.ANSWERED) {
			this.context.log().batchFailed(this.batch, "status " + this.answer.status());
		}
		else if (!this.context.errors().run("reading of results", () -> pieceOutcomes.addAll(readOutcomes()))
				|| pieceOutcomes.isEmpty()) {
			outcome = BatchOutcome.BROKEN;
		}
		this.body.release();
		this.listener.onOutcome(this, outcome, pieceOutcomes);
	}

	/**
	 * Reads the outcomes of the pieces from the response.
	 * @return the outcomes; empty if the response cannot be read
	 */
	private List<PieceOutcome> readOutcomes() {
		try {
			return this.context.endpoints().pieceOutcomes(this.body, this.batch.pieces().size());
		}
		catch (ProtocolException ex) {
			this.context.log().batchFailed(this.batch, ex.getMessage());
			return List.of();
		}
	}

	@Override
	public void onFailure(CallFailure reason, String detail) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.failure = Optional.of(reason);
		this.body.release();
		this.context.log().batchFailed(this.batch, reason + ": " + detail);
		this.listener.onOutcome(this, BatchOutcome.BROKEN, List.of());
	}

	private BatchOutcome outcome() {
		if (this.answer.status() == MISDIRECTED) {
			return BatchOutcome.GONE;
		}
		if (this.answer.notRun()) {
			return BatchOutcome.REFUSED;
		}
		return (this.answer.status() == 200) ? BatchOutcome.ANSWERED : BatchOutcome.BROKEN;
	}

	/**
	 * Is notified of the outcome of a call.
	 */
	@FunctionalInterface
	interface OutcomeListener {

		/**
		 * Handles the outcome of a call. Called once for each call.
		 * @param call the call
		 * @param outcome how the call ended
		 * @param pieceOutcomes the outcome of each piece, in the order of the batch;
		 * empty unless the call was answered
		 */
		void onOutcome(BatchCall call, BatchOutcome outcome, List<PieceOutcome> pieceOutcomes);

	}

}
