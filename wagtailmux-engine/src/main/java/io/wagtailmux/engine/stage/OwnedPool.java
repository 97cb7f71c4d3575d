package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.netty.util.concurrent.Future;

import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.decision.stage.BatchOutcome;
import io.wagtailmux.decision.stage.BatchPlanner;
import io.wagtailmux.decision.stage.CallDelay;
import io.wagtailmux.decision.stage.PieceBatch;
import io.wagtailmux.decision.stage.PieceId;
import io.wagtailmux.decision.stage.PieceTicket;
import io.wagtailmux.decision.stage.PieceUrgency;
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
 * Queue of the pieces of one shard of a stage pool, which this instance sends to the
 * endpoints of the shard in batches. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class OwnedPool {

	private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

	/**
	 * Time after which the inputs of a call count as read if calls are not delayed. A
	 * free endpoint reads them as soon as it receives the call.
	 */
	private static final Duration INPUT_READING_TIME = Duration.ofMillis(90);

	private final EngineContext context;

	private final PoolTraffic traffic;

	private final PoolShard shard;

	private final BatchCapacity capacity;

	private final BatchPlanner planner;

	private final KeptResults results;

	private final Map<PieceId, OwnedGroup> groups = new HashMap<>();

	private final PieceSuspects suspects;

	private final CallDelay callDelay = new CallDelay();

	private final Consumer<List<ResultHandle>> release;

	private long submissions;

	private Future<?> sweep;

	/**
	 * Creates the queue of a shard.
	 * @param context the collaborators that the parts of the engine share
	 * @param traffic the pool
	 * @param shard the shard
	 * @param capacity the capacity of each endpoint
	 * @param release releases results at the endpoints of the shard
	 */
	OwnedPool(EngineContext context, PoolTraffic traffic, PoolShard shard, BatchCapacity capacity,
			Consumer<List<ResultHandle>> release) {
		this.release = release;
		this.context = context;
		this.traffic = traffic;
		this.shard = shard;
		this.capacity = capacity;
		this.planner = new BatchPlanner(capacity);
		this.results = new KeptResults(this.planner, capacity.resultLifetime());
		this.suspects = new PieceSuspects(traffic, context.time(), this.groups);
		this.planner.updateEndpoints(usableEndpoints());
	}

	BatchCapacity capacity() {
		return this.capacity;
	}

	Runnable submit(PieceGroup group, Consumer<PieceGroupResult> done) {
		OwnedGroup owned = new OwnedGroup(group, ++this.submissions, now(),
				(result) -> this.context.errors().run("result of pieces", () -> done.accept(result)));
		if (this.suspects.isHarmful(owned)) {
			return refuse(group, PieceFailure.HARMFUL, done);
		}
		Duration wait = expectedWait(group.urgency());
		if (group.longestWait().filter((longest) -> wait.compareTo(longest) > 0).isPresent()) {
			this.context.metrics().recordPiecesNotMade(Map.of(PieceFailure.CROWDED, (long) group.pieces().size()));
			return refuse(group, PieceFailure.CROWDED, done);
		}
		for (int piece : group.pieces()) {
			this.groups.put(owned.id(piece), owned);
			this.planner.add(ticket(owned, piece));
		}
		sendBatches();
		return () -> cancel(owned);
	}

	private Runnable refuse(PieceGroup group, PieceFailure why, Consumer<PieceGroupResult> done) {
		done.accept(PieceGroupResult.failed(group, why, waitReport(group.urgency())));
		return () -> {
		};
	}

	void onResultsFreed(Collection<ResultHandle> handles) {
		this.results.remove(handles);
		sendBatches();
	}

	void onResultsOffered(Collection<ResultHandle> handles) {
		this.results.offer(handles);
		releaseNeeded();
	}

	private void releaseNeeded() {
		List<ResultHandle> needed = this.results.takeNeeded();
		if (!needed.isEmpty()) {
			this.release.accept(needed);
		}
	}

	/**
	 * Returns the expected wait of a new piece.
	 * @param urgency the urgency of the piece
	 * @return the estimate
	 */
	Duration expectedWait(PieceUrgency urgency) {
		applyStatements(now());
		return this.planner.expectedWait(urgency, now());
	}

	private WaitReport waitReport(PieceUrgency urgency) {
		Duration behindEarlier = expectedWait(urgency);
		return new WaitReport(this.planner.expectedWait(now()), Optional.of(behindEarlier));
	}

	/**
	 * Sends waiting pieces after endpoints were added, were removed or became usable.
	 */
	void onEndpointsChanged() {
		this.planner.updateEndpoints(usableEndpoints());
		sendBatches();
	}

	/**
	 * Sends waiting pieces after the links of this instance failed or were restored.
	 */
	void onLinksChanged() {
		this.planner.forgiveFailures();
		sendBatches();
	}

	private void cancel(OwnedGroup owned) {
		owned.cancel();
		for (int piece : owned.group().pieces()) {
			PieceId id = owned.id(piece);
			if (this.planner.remove(id)) {
				this.groups.remove(id);
			}
		}
	}

	private void sendBatches() {
		Duration now = now();
		this.results.expire(now);
		applyStatements(now);
		if (this.traffic.allLeaving()) {
			this.planner.dropAll().forEach((ticket) -> recordOutcome(ticket.id(), failed(PieceFailure.UNREACHABLE)));
			return;
		}
		this.planner.dropUnreachable(now).forEach((ticket) -> recordOutcome(ticket.id(), failed(PieceFailure.LATE)));
		Optional<PieceBatch> batch = nextBatch(now);
		while (batch.isPresent()) {
			send(batch.get(), now);
			batch = nextBatch(now);
		}
		releaseNeeded();
		scheduleSweep();
	}

	private Optional<PieceBatch> nextBatch(Duration now) {
		return this.planner.next(now, (endpoint) -> withinLimit(endpoint, now), this.suspects::maySend);
	}

	/**
	 * Adopts which endpoints are leaving or stay away. Any answer may have said so, also
	 * one to another part of this instance.
	 * @param now the elapsed time
	 */
	private void applyStatements(Duration now) {
		List<LiveEndpoint> unavailable = this.traffic.unavailable(now);
		if (unavailable.isEmpty()) {
			return;
		}
		this.planner.updateEndpoints(usableEndpoints());
		unavailable
			.forEach((endpoint) -> this.planner.stayAway(endpoint.entry().id(), endpoint.availability().awayUntil()));
	}

	private boolean withinLimit(EndpointId id, Duration now) {
		return this.traffic.endpoint(id)
			.filter((endpoint) -> this.traffic.namedLimits().allows(endpoint, now))
			.isPresent();
	}

	private Map<EndpointId, AvailabilityZoneId> usableEndpoints() {
		return this.traffic.pieceEndpoints(this.shard)
			.stream()
			.collect(Collectors.toMap((endpoint) -> endpoint.entry().id(), (endpoint) -> endpoint.entry().zone()));
	}

	/**
	 * Sends a batch, whose call counts as started. It ends at once if an error prevents
	 * it from being sent, so that its endpoint is free again.
	 * @param batch the batch
	 * @param now the elapsed time
	 */
	private void send(PieceBatch batch, Duration now) {
		LiveEndpoint endpoint = this.traffic.endpoint(batch.endpoint()).orElseThrow();
		BatchCall call = new BatchCall(this.context, endpoint, batch, this::onBatchEnded);
		if (!this.context.errors().run("sending of pieces", () -> send(call, now))) {
			call.abandon();
		}
	}

	private void send(BatchCall call, Duration now) {
		PieceBatch batch = call.batch();
		List<PieceOrder> orders = new ArrayList<>();
		for (PieceTicket ticket : batch.pieces()) {
			OwnedGroup owned = this.groups.get(ticket.id());
			orders.add(owned.order(ticket.id(), now));
			if (owned.markSent(ticket.id().piece())) {
				scheduleInputOffer(owned);
			}
		}
		this.traffic.namedLimits().recordDemand(now);
		this.traffic.namedLimits().recordCall(call.endpoint());
		this.suspects.onSent(batch);
		this.context.log().batch(this.traffic.pool().id(), batch);
		call.send(orders, this.capacity);
		this.context.metrics().recordBatch(batch.pieces().size(), call.sentBytes());
	}

	private void scheduleInputOffer(OwnedGroup owned) {
		Duration readingTime = INPUT_READING_TIME.plus(this.callDelay.current(now()));
		owned.group()
			.releasableInputPool()
			.ifPresent((pool) -> this.context.loop().schedule("offer of inputs", readingTime, () -> {
				if (owned.allSent()) {
					this.context.pieces().offer(pool, owned.group().inputs());
				}
			}));
	}

	private void onBatchEnded(BatchCall call, BatchOutcome batchOutcome, List<PieceOutcome> pieceOutcomes) {
		Duration now = now();
		PieceBatch batch = call.batch();
		Duration expected = this.capacity.expectedTime(batch.pieces().size());
		Map<PieceFailure, Long> failures = failures(pieceOutcomes);
		this.context.log().batchEnded(batch, batchOutcome, call.elapsed(now), expected, call.sentBytes(), failures);
		this.context.metrics().recordPiecesNotMade(failures);
		this.context.metrics().recordBatchEnd(call.elapsed(now), expected);
		this.callDelay.onCallEnded(call.elapsed(now), expected, now);
		boolean noRoomForAny = !pieceOutcomes.isEmpty() && pieceOutcomes.stream().allMatch(OwnedPool::isNoRoom);
		this.planner.onBatchEnded(batch, noRoomForAny ? BatchOutcome.REFUSED : batchOutcome, call.elapsed(now), now);
		if (call.brokenOff().isPresent()) {
			onBrokenOff(call);
			return;
		}
		this.suspects.onAnswered(call, pieceOutcomes);
		onPiecesEnded(batch, batchOutcome, pieceOutcomes);
	}

	private static Map<PieceFailure, Long> failures(List<PieceOutcome> outcomes) {
		return outcomes.stream()
			.flatMap((outcome) -> outcome.failure().stream())
			.collect(Collectors.groupingBy((failure) -> failure, () -> new EnumMap<>(PieceFailure.class),
					Collectors.counting()));
	}

	/**
	 * Reports a call that may have ended its endpoint. If its connection broke, which is
	 * checked in a moment, or if one of its requests was at an endpoint that ended
	 * before, the pieces are sent again only when it is known whether this endpoint has
	 * ended.
	 * @param call the call
	 */
	private void onBrokenOff(BatchCall call) {
		boolean waits = this.suspects.holdUntilChecked(call);
		this.context.crashWatch()
			.onCallBroken(this.traffic, call.endpoint(), this.suspects.of(call.batch().pieces()), call.startedAt(),
					(endpointEnded) -> {
						this.suspects.onChecked(call.batch());
						if (endpointEnded) {
							regroup();
						}
						if (waits) {
							onPiecesEnded(call.batch(), BatchOutcome.BROKEN, List.of());
						}
					});
		if (!waits) {
			onPiecesEnded(call.batch(), BatchOutcome.BROKEN, List.of());
		}
	}

	/**
	 * Ends the waiting pieces of requests that crash endpoints, and isolates those of
	 * requests that may do so.
	 */
	private void regroup() {
		for (OwnedGroup owned : Set.copyOf(this.groups.values())) {
			boolean harmful = this.suspects.isHarmful(owned);
			if (!harmful && !this.suspects.mayCrashEndpoints(owned)) {
				continue;
			}
			for (int piece : owned.group().pieces()) {
				if (!this.planner.remove(owned.id(piece))) {
					continue;
				}
				if (harmful) {
					recordOutcome(owned.id(piece), failed(PieceFailure.HARMFUL));
				}
				else {
					this.planner.add(ticket(owned, piece));
				}
			}
		}
	}

	private PieceTicket ticket(OwnedGroup owned, int piece) {
		return owned.ticket(piece, this.suspects.mayCrashEndpoints(owned));
	}

	private void onPiecesEnded(PieceBatch batch, BatchOutcome batchOutcome, List<PieceOutcome> pieceOutcomes) {
		Duration now = now();
		for (int index = 0; index < batch.pieces().size(); index++) {
			PieceTicket ticket = batch.pieces().get(index);
			PieceOutcome outcome = pieceOutcomes.isEmpty() ? failed(PieceFailure.ERROR) : pieceOutcomes.get(index);
			outcome.handle()
				.ifPresentOrElse((handle) -> this.results.add(handle, batch.endpoint(), ticket.resultBytes(), now),
						() -> this.planner.onResultsFreed(batch.endpoint(), ticket.resultBytes()));
			onPieceEnded(ticket, outcome,
					batchOutcome == BatchOutcome.REFUSED || batchOutcome == BatchOutcome.GONE || isNoRoom(outcome));
		}
		sendBatches();
	}

	/**
	 * Returns whether an endpoint did not execute a piece for lack of memory for its
	 * result. The endpoint reports this at once, so the time of the call does not count
	 * as a measurement of its speed, and the piece is retried a little later.
	 * @param outcome the outcome of the piece
	 * @return whether there was no memory for its result
	 */
	private static boolean isNoRoom(PieceOutcome outcome) {
		return outcome.failure().map(PieceFailure.NO_ROOM::equals).orElse(false);
	}

	private void onPieceEnded(PieceTicket ticket, PieceOutcome outcome, boolean notExecuted) {
		OwnedGroup owned = this.groups.get(ticket.id());
		if (owned == null) {
			return;
		}
		boolean retryable = outcome.failure().map(PieceFailure::retryable).orElse(false)
				&& !this.suspects.isHarmful(owned);
		if (retryable && !owned.cancelled() && (notExecuted || owned.mayRetry(ticket.id().piece()))) {
			owned.markUnsent(ticket.id().piece());
			this.planner.add(ticket(owned, ticket.id().piece()));
			return;
		}
		if (owned.cancelled()) {
			outcome.handle()
				.ifPresent((handle) -> this.context.pieces().free(this.traffic.pool().id(), List.of(handle)));
		}
		recordOutcome(ticket.id(), outcome);
	}

	private void recordOutcome(PieceId id, PieceOutcome outcome) {
		OwnedGroup owned = this.groups.remove(id);
		if (owned == null) {
			return;
		}
		owned.recordOutcome(id.piece(), outcome, this::waitReport);
		if (owned.cancelled()) {
			cancel(owned);
		}
	}

	/**
	 * Schedules the next sweep while pieces wait. No event signals that the pause of an
	 * endpoint is over or that a waiting piece has reached its deadline.
	 */
	private void scheduleSweep() {
		if (this.sweep != null || this.planner.waiting() == 0) {
			return;
		}
		this.sweep = this.context.loop().schedule("sweep of waiting pieces", SWEEP_INTERVAL, () -> {
			this.sweep = null;
			sendBatches();
		});
	}

	private static PieceOutcome failed(PieceFailure failure) {
		return PieceOutcome.failed(failure);
	}

	private Duration now() {
		return this.context.time().elapsed();
	}

}
