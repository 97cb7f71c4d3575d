package io.wagtailmux.engine.stage;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.CallFailure;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.http.ResponseListener;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * Makes the pieces of all pools that this instance owns, and of others whose owner it
 * cannot reach. Ownership needs no lease: a piece may be made twice, and two owners only
 * fill their calls less well.
 *
 * @author the wagtailmux developers
 */
public final class LocalPieceService implements PieceService {

	/** Results are given up in groups, soon enough for the room of the next call. */
	private static final Duration FREE_DELAY = Duration.ofMillis(3);

	private static final Duration FREE_TIMEOUT = Duration.ofSeconds(1);

	private final EngineContext context;

	private final Map<PoolId, OwnedPool> pools = new HashMap<>();

	private final Map<InetSocketAddress, List<FreedResult>> toFree = new HashMap<>();

	private boolean freeScheduled;

	/**
	 * Creates an owner without pieces.
	 * @param context what the engine works with
	 */
	public LocalPieceService(EngineContext context) {
		this.context = context;
	}

	@Override
	public Runnable submit(PoolId pool, PieceGroup group, Consumer<PieceGroupResult> done) {
		Optional<OwnedPool> owned = owned(pool);
		if (owned.isEmpty()) {
			done.accept(PieceGroupResult.failed(group, PieceFailure.UNREACHABLE, Duration.ZERO));
			return () -> {
			};
		}
		return owned.get().submit(group, done);
	}

	@Override
	public void free(PoolId pool, List<ResultHandle> handles) {
		for (ResultHandle handle : handles) {
			this.context.endpoints()
				.location(handle)
				.ifPresent((address) -> this.toFree.computeIfAbsent(address, (ignored) -> new ArrayList<>())
					.add(new FreedResult(pool, handle)));
		}
		if (!this.freeScheduled && !this.toFree.isEmpty()) {
			this.freeScheduled = true;
			this.context.loop().schedule(this::sendFrees, FREE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public Duration expectedWait(PoolId pool) {
		OwnedPool owned = this.pools.get(pool);
		return (owned != null) ? owned.expectedWait() : Duration.ZERO;
	}

	/**
	 * Takes note of a newer view.
	 */
	public void onViewChanged() {
		this.pools.values().forEach(OwnedPool::endpointsChanged);
	}

	private Optional<OwnedPool> owned(PoolId pool) {
		Optional<PoolTraffic> traffic = this.context.state().pool(pool);
		Optional<BatchCapacity> capacity = traffic.flatMap((found) -> found.pool().batch());
		if (capacity.isEmpty()) {
			return Optional.empty();
		}
		OwnedPool owned = this.pools.get(pool);
		if (owned == null || !owned.capacity().equals(capacity.get())) {
			owned = new OwnedPool(this.context, traffic.get(), capacity.get());
			this.pools.put(pool, owned);
		}
		return Optional.of(owned);
	}

	private void sendFrees() {
		this.freeScheduled = false;
		Map<InetSocketAddress, List<FreedResult>> sending = Map.copyOf(this.toFree);
		this.toFree.clear();
		sending.forEach((address, results) -> {
			List<ResultHandle> handles = results.stream().map(FreedResult::handle).toList();
			OutgoingRequest request = this.context.endpoints().free(handles).timeout(FREE_TIMEOUT).build();
			this.context.client().send(destination(address), request, new FreeListener(results));
		});
	}

	private HttpDestination destination(InetSocketAddress address) {
		for (PoolTraffic traffic : this.context.state().pools()) {
			for (LiveEndpoint endpoint : traffic.endpoints()) {
				if (endpoint.entry().address().equals(address)) {
					return endpoint.destination();
				}
			}
		}
		return new HttpDestination(address);
	}

	/**
	 * A result that is given up, with the pool whose endpoint keeps it.
	 */
	private record FreedResult(PoolId pool, ResultHandle handle) {

	}

	/**
	 * Counts the room of results that an endpoint has let go; only then, since the next
	 * call may reach it before the call that gives them up. Results of a call that fails
	 * lapse by themselves.
	 */
	private final class FreeListener implements ResponseListener {

		private final List<FreedResult> results;

		private int status;

		FreeListener(List<FreedResult> results) {
			this.results = results;
		}

		@Override
		public void onHead(HttpResponse response) {
			this.status = response.status().code();
		}

		@Override
		public void onContent(ByteBuf content) {
		}

		@Override
		public void onEnd() {
			if (this.status != 200) {
				LocalPieceService.this.context.log().freeFailed(this.results.size(), "status " + this.status);
				return;
			}
			this.results.stream()
				.collect(Collectors.groupingBy(FreedResult::pool,
						Collectors.mapping(FreedResult::handle, Collectors.toList())))
				.forEach((pool, handles) -> owned(pool).ifPresent((owned) -> owned.free(handles)));
		}

		@Override
		public void onFailure(CallFailure failure, String detail) {
			LocalPieceService.this.context.log().freeFailed(this.results.size(), failure + ": " + detail);
		}

	}

}
