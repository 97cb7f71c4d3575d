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

import io.netty.handler.codec.http.HttpMethod;

import io.wagtailmux.decision.RendezvousHash;
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
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.FreeResultsMessage;
import io.wagtailmux.peer.wire.PieceGroupResultMessage;

/**
 * Sends pieces to the instance that owns their pool.
 *
 * <p>
 * The owner is the one that comes first by rendezvous hash among the instances that
 * answer. One that falls silent loses its pools in the next view, and what was asked of
 * it is asked of the next owner.
 *
 * @author the wagtailmux developers
 */
public final class PieceRouter implements PieceService {

	private static final Duration FREE_TIMEOUT = Duration.ofSeconds(1);

	private final EngineContext context;

	private final LocalPieceService self;

	private final Map<InstanceId, HttpDestination> destinations = new HashMap<>();

	private final Map<PoolId, Duration> expectedWaits = new HashMap<>();

	private final Set<RemoteGroup> pending = new HashSet<>();

	/**
	 * Creates a router.
	 * @param context what the engine works with
	 * @param self makes the pieces of the pools that this instance owns
	 */
	public PieceRouter(EngineContext context, LocalPieceService self) {
		this.context = context;
		this.self = self;
	}

	@Override
	public Runnable submit(PoolId pool, PieceGroup group, Consumer<PieceGroupResult> done) {
		RemoteGroup remote = new RemoteGroup(pool, group, done);
		remote.send();
		return remote::cancel;
	}

	@Override
	public void free(PoolId pool, List<ResultHandle> handles) {
		Optional<InstancePeer> owner = owner(pool);
		if (owner.isEmpty()) {
			this.self.free(pool, handles);
			return;
		}
		FreeResultsMessage message = new FreeResultsMessage(pool.value(),
				handles.stream().map(ResultHandle::value).toList());
		OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, PeerPath.FREE.path())
			.body(ThriftCodec.encode(message))
			.timeout(FREE_TIMEOUT)
			.build();
		this.context.client().send(destination(owner.get()), request, new PeerResponseListener((body) -> {
		}, (why) -> this.self.free(pool, handles)));
	}

	@Override
	public Duration expectedWait(PoolId pool) {
		return owner(pool).isEmpty() ? this.self.expectedWait(pool)
				: this.expectedWaits.getOrDefault(pool, Duration.ZERO);
	}

	/**
	 * Takes note of a newer view: asks the next owner for what a silent one owes.
	 */
	public void onViewChanged() {
		List<InstancePeer> peers = this.context.state().view().peers();
		this.destinations.keySet().removeIf((id) -> peers.stream().noneMatch((peer) -> peer.id().equals(id)));
		for (RemoteGroup group : new ArrayList<>(this.pending)) {
			if (!peers.contains(group.owner)) {
				group.moveOn("it does not answer any more");
			}
		}
	}

	private Optional<InstancePeer> owner(PoolId pool) {
		int best = RendezvousHash.of(pool, this.context.state().self());
		InstancePeer owner = null;
		for (InstancePeer peer : this.context.state().view().peers()) {
			int hash = RendezvousHash.of(pool, peer.id());
			if (hash > best) {
				best = hash;
				owner = peer;
			}
		}
		return Optional.ofNullable(owner);
	}

	private HttpDestination destination(InstancePeer peer) {
		HttpDestination known = this.destinations.get(peer.id());
		if (known == null || !known.address().equals(peer.address())) {
			known = new HttpDestination(peer.address());
			this.destinations.put(peer.id(), known);
		}
		return known;
	}

	/**
	 * A group of pieces that is asked of the pool's owner, whoever that is.
	 */
	private final class RemoteGroup {

		private final PoolId pool;

		private final PieceGroup group;

		private final Consumer<PieceGroupResult> done;

		private final Duration submitted = now();

		private InstancePeer owner;

		private ClientCall call;

		private Runnable cancelLocal;

		private boolean failedOnce;

		private boolean over;

		RemoteGroup(PoolId pool, PieceGroup group, Consumer<PieceGroupResult> done) {
			this.pool = pool;
			this.group = group;
			this.done = done;
		}

		void send() {
			Optional<InstancePeer> found = this.failedOnce ? Optional.empty() : owner(this.pool);
			PieceGroup current = current();
			if (current.remaining().isNegative()) {
				finish(PieceGroupResult.failed(this.group, PieceFailure.LATE, Duration.ZERO));
				return;
			}
			if (found.isEmpty()) {
				this.cancelLocal = PieceRouter.this.self.submit(this.pool, current, this::finish);
				return;
			}
			this.owner = found.get();
			PieceRouter.this.pending.add(this);
			OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, PeerPath.PIECES.path())
				.body(ThriftCodec.encode(PieceMessages.message(this.pool, current)))
				.timeout(current.remaining())
				.build();
			this.call = PieceRouter.this.context.client()
				.send(destination(this.owner), request, new PeerResponseListener(
						(body) -> finish(PieceMessages.result(ThriftCodec.decode(body, new PieceGroupResultMessage()))),
						this::moveOn));
		}

		void cancel() {
			if (this.over) {
				return;
			}
			this.over = true;
			PieceRouter.this.pending.remove(this);
			if (this.cancelLocal != null) {
				this.cancelLocal.run();
			}
			if (this.call != null) {
				this.call.cancel();
			}
		}

		void moveOn(String why) {
			if (this.over || !PieceRouter.this.pending.remove(this)) {
				return;
			}
			PieceRouter.this.context.log().ownerFailed(this.group.attempt(), this.owner.id().value(), why);
			if (this.call != null) {
				this.call.cancel();
			}
			this.failedOnce = owner(this.pool).map((next) -> next.equals(this.owner)).orElse(true);
			send();
		}

		private void finish(PieceGroupResult result) {
			if (this.over) {
				return;
			}
			this.over = true;
			PieceRouter.this.pending.remove(this);
			PieceRouter.this.expectedWaits.put(this.pool, result.expectedWait());
			this.done.accept(result);
		}

		private PieceGroup current() {
			return this.group.withElapsed(now().minus(this.submitted));
		}

		private Duration now() {
			return PieceRouter.this.context.time().elapsed();
		}

	}

}
