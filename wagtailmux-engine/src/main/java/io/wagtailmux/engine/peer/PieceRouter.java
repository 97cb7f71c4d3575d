package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpMethod;

import io.wagtailmux.decision.admission.ExpectedWait;
import io.wagtailmux.decision.admission.ReportedWaits;
import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.decision.ownership.PoolShards;
import io.wagtailmux.decision.stage.PieceUrgency;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.ClientCall;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.stage.LocalPieceService;
import io.wagtailmux.engine.stage.PieceGroup;
import io.wagtailmux.engine.stage.PieceGroupResult;
import io.wagtailmux.engine.stage.PieceService;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.FreeResultsMessage;
import io.wagtailmux.peer.wire.PieceGroupResultMessage;

/**
 * Chooses a shard of the pool for each group of pieces, and sends groups and releases of
 * results to the instance that owns the shard. This instance performs them itself if it
 * is the owner or cannot reach the owner. Used on the traffic thread only.
 *
 * <p>
 * An instance that stops responding is missing in the next serving view and so loses its
 * shards; groups that were sent to it are sent to the next owner.
 *
 * @author the wagtailmux developers
 */
public final class PieceRouter implements PieceService {

	private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

	private final EngineContext context;

	private final LocalPieceService local;

	private final Map<InstanceId, HttpDestination> destinations = new HashMap<>();

	private final ShardOwners owners;

	private final ReportedWaits waits = new ReportedWaits();

	private final Set<RemoteGroup> pending = new HashSet<>();

	/**
	 * Creates a router.
	 * @param context the collaborators that the parts of the engine share
	 * @param local executes the pieces of pools that this instance owns, and of pools
	 * whose owner cannot be reached
	 */
	public PieceRouter(EngineContext context, LocalPieceService local) {
		this.context = context;
		this.local = local;
		this.owners = new ShardOwners(context.state());
	}

	@Override
	public Runnable submit(PoolId pool, PieceGroup group, Consumer<PieceGroupResult> done) {
		RemoteGroup remote = new RemoteGroup(shardForNewWork(pool, group.urgency()), group, done);
		remote.send();
		return remote::cancel;
	}

	@Override
	public void free(PoolId pool, List<ResultHandle> handles) {
		handles.stream().collect(Collectors.groupingBy((handle) -> shardOf(pool, handle))).forEach(this::freeAtOwner);
	}

	@Override
	public void offer(PoolId pool, List<ResultHandle> handles) {
		handles.stream().collect(Collectors.groupingBy((handle) -> shardOf(pool, handle))).forEach(this::offerToOwner);
	}

	private void offerToOwner(PoolShard shard, List<ResultHandle> handles) {
		Optional<InstancePeer> owner = this.owners.owner(shard);
		if (owner.isEmpty()) {
			this.local.offer(shard.pool(), handles);
			return;
		}
		FreeResultsMessage message = message(shard, handles).setOnlyIfNeeded(true);
		// An offer that is lost costs nothing: the results are released later.
		this.context.client().send(destination(owner.get()), request(message), new PeerResponseListener((body) -> {
		}, (reason) -> {
		}));
	}

	@Override
	public ExpectedWait expectedWait(PoolId pool, PieceUrgency urgency) {
		return shards(pool)
			.map((shards) -> new ExpectedWait(shards.meanWait((shard) -> expectedWait(shard, urgency).time()),
					shards.meanWait((shard) -> expectedWait(shard, urgency).ahead())))
			.orElse(ExpectedWait.NONE);
	}

	private void freeAtOwner(PoolShard shard, List<ResultHandle> handles) {
		PoolId pool = shard.pool();
		Optional<InstancePeer> owner = this.owners.owner(shard);
		if (owner.isEmpty()) {
			this.local.free(pool, handles);
			return;
		}
		OutgoingRequest request = request(message(shard, handles));
		this.context.client().send(destination(owner.get()), request, new PeerResponseListener((body) -> {
		}, (reason) -> this.local.free(pool, handles)));
	}

	private static FreeResultsMessage message(PoolShard shard, List<ResultHandle> handles) {
		return new FreeResultsMessage(shard.pool().value(), handles.stream().map(ResultHandle::value).toList());
	}

	private static OutgoingRequest request(FreeResultsMessage message) {
		return OutgoingRequest.of(HttpMethod.POST, PeerPath.FREE.path())
			.body(ThriftCodec.encode(message))
			.timeout(RELEASE_TIMEOUT)
			.build();
	}

	private ExpectedWait expectedWait(PoolShard shard, PieceUrgency urgency) {
		return this.owners.owner(shard).isEmpty() ? ExpectedWait.of(this.local.expectedWait(shard, urgency))
				: this.waits.expectedWait(shard, urgency.priority(), this.context.time().elapsed());
	}

	private Optional<PoolShards> shards(PoolId pool) {
		return this.context.state().pool(pool).flatMap(PoolTraffic::shards);
	}

	private PoolShard shardForNewWork(PoolId pool, PieceUrgency urgency) {
		return shards(pool)
			.map((shards) -> shards.choose(this.context.random(), (shard) -> expectedWait(shard, urgency).time()))
			.orElseGet(() -> new PoolShard(pool, 0));
	}

	/**
	 * Returns the shard whose owner tracks a result.
	 * @param pool the pool whose endpoint keeps the result
	 * @param handle the result
	 * @return the shard of the endpoint; the first one if the endpoint is unknown
	 */
	private PoolShard shardOf(PoolId pool, ResultHandle handle) {
		return this.context.endpoints()
			.location(handle)
			.flatMap(this.context.state()::endpointAt)
			.flatMap((endpoint) -> shards(pool).map((shards) -> shards.shardOf(endpoint.id())))
			.orElseGet(() -> new PoolShard(pool, 0));
	}

	/**
	 * Handles a change of the serving view: sends groups whose owner is no longer a live
	 * peer to the next owner.
	 */
	public void onViewChanged() {
		List<InstancePeer> peers = this.context.state().view().peers();
		this.destinations.keySet().removeIf((id) -> peers.stream().noneMatch((peer) -> peer.id().equals(id)));
		for (RemoteGroup group : new ArrayList<>(this.pending)) {
			if (!peers.contains(group.owner)) {
				group.failOver("no longer a live peer");
			}
		}
	}

	private HttpDestination destination(InstancePeer peer) {
		HttpDestination destination = this.destinations.get(peer.id());
		if (destination == null || !destination.address().equals(peer.address())) {
			destination = new HttpDestination(peer.address());
			this.destinations.put(peer.id(), destination);
		}
		return destination;
	}

	/**
	 * A submitted group of pieces. It is sent to the owner of its shard, and to the next
	 * owner if that one fails. This instance executes the group if it is the owner
	 * itself, or if the failed instance is still the owner by the newest view.
	 */
	private final class RemoteGroup {

		private final PoolShard shard;

		private final PieceGroup group;

		private final Consumer<PieceGroupResult> done;

		private final Duration submittedAt = now();

		private InstancePeer owner;

		private ClientCall call;

		private Runnable localCancellation;

		private boolean runLocally;

		private boolean ended;

		RemoteGroup(PoolShard shard, PieceGroup group, Consumer<PieceGroupResult> done) {
			this.shard = shard;
			this.group = group;
			this.done = done;
		}

		void send() {
			Optional<InstancePeer> found = this.runLocally ? Optional.empty()
					: PieceRouter.this.owners.owner(this.shard);
			PieceGroup current = groupAsOfNow();
			if (current.remaining().isNegative()) {
				finish(PieceGroupResult.failed(this.group, PieceFailure.LATE, WaitReport.NONE));
				return;
			}
			if (found.isEmpty()) {
				this.localCancellation = PieceRouter.this.local.submit(this.shard, current, this::finish);
				return;
			}
			this.owner = found.get();
			PieceRouter.this.pending.add(this);
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, PeerPath.PIECES.path())
				.body(ThriftCodec.encode(PieceMessages.message(this.shard, current)))
				.timeout(current.remaining())
				.build();
			this.call = PieceRouter.this.context.client()
				.send(destination(this.owner), request,
						new PeerResponseListener(
								(body) -> onAnswer(
										PieceMessages.result(ThriftCodec.decode(body, new PieceGroupResultMessage()))),
								this::failOver));
		}

		/**
		 * Accepts the result, unless the owner knows no endpoint, as one of an earlier
		 * version that has just started.
		 * @param result the result
		 */
		private void onAnswer(PieceGroupResult result) {
			if (result.failure().filter(PieceFailure.UNREACHABLE::equals).isPresent()) {
				failOver("knows no endpoint");
				return;
			}
			finish(result);
		}

		void cancel() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			PieceRouter.this.pending.remove(this);
			if (this.localCancellation != null) {
				this.localCancellation.run();
			}
			if (this.call != null) {
				this.call.cancel();
			}
		}

		void failOver(String reason) {
			if (this.ended || !PieceRouter.this.pending.remove(this)) {
				return;
			}
			PieceRouter.this.context.log().ownerFailed(this.group.attempt(), this.owner.id().value(), reason);
			if (this.call != null) {
				this.call.cancel();
			}
			this.runLocally = PieceRouter.this.owners.owner(this.shard)
				.map((next) -> next.equals(this.owner))
				.orElse(true);
			send();
		}

		private void finish(PieceGroupResult result) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			PieceRouter.this.pending.remove(this);
			PieceRouter.this.waits.report(this.shard, this.group.priority(), result.waits().expected(), now());
			this.done.accept(result);
		}

		private PieceGroup groupAsOfNow() {
			return this.group.withElapsed(now().minus(this.submittedAt));
		}

		private Duration now() {
			return PieceRouter.this.context.time().elapsed();
		}

	}

}
