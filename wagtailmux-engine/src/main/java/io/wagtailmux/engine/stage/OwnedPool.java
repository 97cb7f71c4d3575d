package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.netty.util.concurrent.Future;

import io.wagtailmux.decision.stage.BatchOutcome;
import io.wagtailmux.decision.stage.BatchPlanner;
import io.wagtailmux.decision.stage.PieceBatch;
import io.wagtailmux.decision.stage.PieceId;
import io.wagtailmux.decision.stage.PieceTicket;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.PieceOrder;
import io.wagtailmux.engine.port.PieceOutcome;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * A stage pool whose pieces this instance puts together into calls.
 *
 * @author the wagtailmux developers
 */
final class OwnedPool {

	private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

	/** A free endpoint reads the inputs of a call as soon as it has it. */
	private static final Duration READING_TIME = Duration.ofMillis(90);

	private final EngineContext context;

	private final PoolTraffic traffic;

	private final BatchCapacity capacity;

	private final BatchPlanner planner;

	private final KeptResults results;

	private final Map<PieceId, OwnedGroup> groups = new HashMap<>();

	private Future<?> sweep;

	OwnedPool(EngineContext context, PoolTraffic traffic, BatchCapacity capacity) {
		this.context = context;
		this.traffic = traffic;
		this.capacity = capacity;
		this.planner = new BatchPlanner(capacity);
		this.results = new KeptResults(this.planner, capacity.resultLifetime());
	}

	BatchCapacity capacity() {
		return this.capacity;
	}

	Runnable submit(PieceGroup group, Consumer<PieceGroupResult> done) {
		OwnedGroup owned = new OwnedGroup(group, now(), done);
		for (int piece : group.pieces()) {
			PieceTicket ticket = owned.ticket(piece);
			this.groups.put(ticket.id(), owned);
			this.planner.add(ticket);
		}
		place();
		return () -> cancel(owned);
	}

	void free(Collection<ResultHandle> handles) {
		this.results.forget(handles);
		place();
	}

	Duration expectedWait() {
		return this.planner.expectedWait(now());
	}

	/**
	 * Takes note that endpoints have come, gone or become usable.
	 */
	void endpointsChanged() {
		place();
	}

	private void cancel(OwnedGroup owned) {
		owned.cancel();
		for (int piece : owned.group().pieces()) {
			PieceId id = owned.ticket(piece).id();
			if (this.planner.remove(id)) {
				this.groups.remove(id);
			}
		}
	}

	private void place() {
		Duration now = now();
		this.results.expire(now);
		this.planner.updateEndpoints(usableEndpoints());
		this.planner.dropUnreachable(now).forEach((ticket) -> settle(ticket.id(), failed(PieceFailure.LATE)));
		Optional<PieceBatch> batch = this.planner.next(now);
		while (batch.isPresent()) {
			send(batch.get(), now);
			batch = this.planner.next(now);
		}
		scheduleSweep();
	}

	private Map<EndpointId, AvailabilityZoneId> usableEndpoints() {
		return this.traffic.pieceEndpoints()
			.stream()
			.collect(Collectors.toMap((endpoint) -> endpoint.entry().id(), (endpoint) -> endpoint.entry().zone()));
	}

	private void send(PieceBatch batch, Duration now) {
		List<PieceOrder> orders = new ArrayList<>();
		for (PieceTicket ticket : batch.pieces()) {
			OwnedGroup owned = this.groups.get(ticket.id());
			orders.add(owned.order(ticket.id(), now));
			if (owned.sent(ticket.id().piece())) {
				freeInputsSoon(owned);
			}
		}
		LiveEndpoint endpoint = this.traffic.endpoint(batch.endpoint()).orElseThrow();
		this.context.log().batch(this.traffic.pool().id(), batch);
		this.context.metrics().recordBatch(batch.pieces().size());
		new BatchCall(this.context, endpoint, batch, this::ended).send(orders, this.capacity);
	}

	private void freeInputsSoon(OwnedGroup owned) {
		owned.group().releasableInputPool().ifPresent((pool) -> this.context.loop().schedule(() -> {
			if (owned.allSent()) {
				this.context.pieces().free(pool, owned.group().inputs());
			}
		}, READING_TIME.toMillis(), TimeUnit.MILLISECONDS));
	}

	private void ended(BatchCall call, BatchOutcome end, List<PieceOutcome> outcomes) {
		Duration now = now();
		PieceBatch batch = call.batch();
		boolean full = !outcomes.isEmpty() && outcomes.stream().allMatch(OwnedPool::foundNoRoom);
		this.planner.onBatchEnded(batch, full ? BatchOutcome.REFUSED : end, call.took(now), now);
		for (int index = 0; index < batch.pieces().size(); index++) {
			PieceTicket ticket = batch.pieces().get(index);
			PieceOutcome outcome = outcomes.isEmpty() ? failed(PieceFailure.ERROR) : outcomes.get(index);
			outcome.handle()
				.ifPresentOrElse((handle) -> this.results.keep(handle, batch.endpoint(), ticket.resultBytes(), now),
						() -> this.planner.onResultsFreed(batch.endpoint(), ticket.resultBytes()));
			ended(ticket, outcome, end == BatchOutcome.REFUSED || end == BatchOutcome.GONE || foundNoRoom(outcome));
		}
		place();
	}

	/**
	 * Tells whether an endpoint did nothing for a piece, and at once: it is worth another
	 * try a little later, which says nothing of the endpoint's speed.
	 * @param outcome what became of the piece
	 * @return whether there was no room for its result
	 */
	private static boolean foundNoRoom(PieceOutcome outcome) {
		return outcome.failure().map(PieceFailure.NO_ROOM::equals).orElse(false);
	}

	private void ended(PieceTicket ticket, PieceOutcome outcome, boolean untouched) {
		OwnedGroup owned = this.groups.get(ticket.id());
		if (owned == null) {
			return;
		}
		boolean again = outcome.failure().map(PieceFailure::retryable).orElse(false);
		if (again && !owned.cancelled() && (untouched || owned.mayTryAgain(ticket.id().piece()))) {
			owned.unsent(ticket.id().piece());
			this.planner.add(ticket);
			return;
		}
		if (owned.cancelled()) {
			outcome.handle()
				.ifPresent((handle) -> this.context.pieces().free(this.traffic.pool().id(), List.of(handle)));
		}
		settle(ticket.id(), outcome);
	}

	private void settle(PieceId id, PieceOutcome outcome) {
		OwnedGroup owned = this.groups.remove(id);
		if (owned == null) {
			return;
		}
		owned.settle(id.piece(), outcome, expectedWait());
		if (owned.cancelled()) {
			cancel(owned);
		}
	}

	/**
	 * Looks again while pieces wait: endpoints that were paused become free, and waiting
	 * pieces run out of time, without any event.
	 */
	private void scheduleSweep() {
		if (this.sweep != null || this.planner.waiting() == 0) {
			return;
		}
		this.sweep = this.context.loop().schedule(() -> {
			this.sweep = null;
			place();
		}, SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static PieceOutcome failed(PieceFailure failure) {
		return PieceOutcome.failed(failure);
	}

	private Duration now() {
		return this.context.time().elapsed();
	}

}
