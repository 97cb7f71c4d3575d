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
 * Executes pieces at the endpoints of their pool: of the pools that this instance owns,
 * and of pools whose owner it cannot reach. Ownership needs no lease: if two instances
 * act as the owner of a pool, a piece may be executed twice and batches are smaller.
 *
 * @author the wagtailmux developers
 */
public final class LocalPieceService implements PieceService {

	/**
	 * Time for which results are collected to be released in one call; short, since the
	 * next call with pieces needs the memory.
	 */
	private static final Duration RELEASE_DELAY = Duration.ofMillis(3);

	private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

	private final EngineContext context;

	private final Map<PoolId, OwnedPool> pools = new HashMap<>();

	private final Map<InetSocketAddress, List<ReleasedResult>> pendingReleases = new HashMap<>();

	private boolean releaseScheduled;

	/**
	 * Creates a service without pools; pools are added when pieces are submitted.
	 * @param context the collaborators that the parts of the engine share
	 */
	public LocalPieceService(EngineContext context) {
		this.context = context;
	}

	@Override
	public Runnable submit(PoolId pool, PieceGroup group, Consumer<PieceGroupResult> done) {
		Optional<OwnedPool> owned = ownedPool(pool);
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
				.ifPresent((address) -> this.pendingReleases.computeIfAbsent(address, (ignored) -> new ArrayList<>())
					.add(new ReleasedResult(pool, handle)));
		}
		if (!this.releaseScheduled && !this.pendingReleases.isEmpty()) {
			this.releaseScheduled = true;
			this.context.loop().schedule(this::sendReleases, RELEASE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public Duration expectedWait(PoolId pool) {
		OwnedPool owned = this.pools.get(pool);
		return (owned != null) ? owned.expectedWait() : Duration.ZERO;
	}

	/**
	 * Handles a change of the serving view: sends waiting pieces to endpoints that became
	 * usable.
	 */
	public void onViewChanged() {
		this.pools.values().forEach(OwnedPool::onEndpointsChanged);
	}

	private Optional<OwnedPool> ownedPool(PoolId pool) {
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

	private void sendReleases() {
		this.releaseScheduled = false;
		Map<InetSocketAddress, List<ReleasedResult>> released = Map.copyOf(this.pendingReleases);
		this.pendingReleases.clear();
		released.forEach((address, results) -> {
			List<ResultHandle> handles = results.stream().map(ReleasedResult::handle).toList();
			OutgoingRequest request = this.context.endpoints().free(handles).timeout(RELEASE_TIMEOUT).build();
			this.context.client().send(destination(address), request, new ReleaseListener(results));
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
	 * A result to be released, with the pool whose endpoint keeps it.
	 */
	private record ReleasedResult(PoolId pool, ResultHandle handle) {

	}

	/**
	 * Counts the memory of results as free once the endpoint has confirmed their release.
	 * Not earlier, because the next call with pieces may reach the endpoint before the
	 * call that releases results. If the release fails, the results expire at the
	 * endpoint.
	 */
	private final class ReleaseListener implements ResponseListener {

		private final List<ReleasedResult> results;

		private int status;

		ReleaseListener(List<ReleasedResult> results) {
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
				.collect(Collectors.groupingBy(ReleasedResult::pool,
						Collectors.mapping(ReleasedResult::handle, Collectors.toList())))
				.forEach((pool, handles) -> ownedPool(pool).ifPresent((owned) -> owned.onResultsFreed(handles)));
		}

		@Override
		public void onFailure(CallFailure failure, String detail) {
			LocalPieceService.this.context.log().freeFailed(this.results.size(), failure + ": " + detail);
		}

	}

}
