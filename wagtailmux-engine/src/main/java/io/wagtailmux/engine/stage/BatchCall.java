package io.wagtailmux.engine.stage;

import java.time.Duration;
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
 * One call that makes pieces.
 *
 * @author the wagtailmux developers
 */
final class BatchCall implements ResponseListener {

	/** How many times its expected time a call may take before it counts as broken. */
	private static final int PATIENCE_FACTOR = 4;

	private static final Duration LEAST_PATIENCE = Duration.ofMillis(500);

	private static final int MAXIMUM_BODY_BYTES = 1 << 20;

	private static final int MISDIRECTED = 421;

	private final EngineContext context;

	private final LiveEndpoint endpoint;

	private final PieceBatch batch;

	private final EndListener listener;

	private final CompositeByteBuf body = Unpooled.compositeBuffer();

	private Duration started = Duration.ZERO;

	private EndpointAnswer answer;

	BatchCall(EngineContext context, LiveEndpoint endpoint, PieceBatch batch, EndListener listener) {
		this.context = context;
		this.endpoint = endpoint;
		this.batch = batch;
		this.listener = listener;
	}

	void send(List<PieceOrder> orders, BatchCapacity capacity) {
		this.started = this.context.time().elapsed();
		Duration patience = LEAST_PATIENCE.plus(capacity.expectedTime(orders.size()).multipliedBy(PATIENCE_FACTOR));
		OutgoingRequest request = this.context.endpoints()
			.pieces(this.endpoint.entry().id(), orders)
			.timeout(patience)
			.build();
		this.context.client().send(this.endpoint.destination(), request, this);
	}

	PieceBatch batch() {
		return this.batch;
	}

	Duration took(Duration now) {
		return now.minus(this.started);
	}

	@Override
	public void onHead(HttpResponse response) {
		this.answer = this.context.endpoints().read(response, Optional.empty());
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.body.readableBytes() < MAXIMUM_BODY_BYTES) {
			this.body.addComponent(true, content.retain());
		}
	}

	@Override
	public void onEnd() {
		BatchOutcome end = end();
		List<PieceOutcome> outcomes = List.of();
		if (end == BatchOutcome.ANSWERED) {
			try {
				outcomes = this.context.endpoints().pieceOutcomes(this.body, this.batch.pieces().size());
			}
			catch (ProtocolException ex) {
				this.context.log().batchFailed(this.batch, ex.getMessage());
				end = BatchOutcome.BROKEN;
			}
		}
		else {
			this.context.log().batchFailed(this.batch, "status " + this.answer.status());
		}
		this.body.release();
		this.listener.ended(this, end, outcomes);
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.body.release();
		this.context.log().batchFailed(this.batch, failure + ": " + detail);
		this.listener.ended(this, BatchOutcome.BROKEN, List.of());
	}

	private BatchOutcome end() {
		if (this.answer.status() == MISDIRECTED) {
			return BatchOutcome.GONE;
		}
		if (this.answer.notRun()) {
			return BatchOutcome.REFUSED;
		}
		return (this.answer.status() == 200) ? BatchOutcome.ANSWERED : BatchOutcome.BROKEN;
	}

	/**
	 * Hears of the end of a call.
	 */
	@FunctionalInterface
	interface EndListener {

		/**
		 * Takes the end.
		 * @param call the call
		 * @param end how it ended
		 * @param outcomes the outcome of each piece; empty unless it was answered
		 */
		void ended(BatchCall call, BatchOutcome end, List<PieceOutcome> outcomes);

	}

}
