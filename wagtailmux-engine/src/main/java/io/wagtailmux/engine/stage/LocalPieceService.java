package io.wagtailmux.engine.stage;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.decision.stage.PieceUrgency;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.CallFailure;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.http.ResponseListener;
import io.wagtailmux.engine.port.EndpointAnswer;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.engine.state.NamedLimitShares;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * Executes pieces at the endpoints of their pool: of the shards that this instance owns,
 * and of shards whose owner it cannot reach. Ownership needs no lease: if two instances
 * act as the owner of a shard, a piece may be executed twice and batches are smaller. All
 * methods run on the traffic thread.
 *
 * @author the wagtailmux developers
 */
public final class LocalPieceService {

	/**
	 * Time for which results are collected to be released in one call; short, since the
	 * next call with pieces needs the memory.
	 */
	private static final Duration RELEASE_DELAY = Duration.ofMillis(3);

	/** Time until releases that do not fit are tried again. */
	private static final Duration HELD_RELEASE_DELAY = Duration.ofMillis(30);

	private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

	private final EngineContext context;

	private final Map<PoolShard, OwnedPool> pools = new HashMap<>();

	private final Map<InetSocketAddress, List<ReleasedResult>> pendingReleases = new HashMap<>();

	private boolean releaseScheduled;

	/**
	 * Creates a service without pools; pools are added when pieces are submitted.
	 * @param context the collaborators that the parts of the engine share
	 */
	public LocalPieceService(EngineContext context) {
		this.context = context;
	}

	/**
	 * Returns whether this instance can execute pieces of a pool.
	 * @param pool the pool
	 * @return false if it has not read its configuration and endpoints yet
	 */
	public boolean knows(PoolId pool) {
		return this.context.state().pool(pool).flatMap((found) -> found.pool().batch()).isPresent();
	}

	/**
	 * Submits a group of pieces, as {@link PieceService#submit} does.
	 * @param shard the shard whose endpoints execute them
	 * @param group the pieces
	 * @param done accepts the result once
	 * @return cancels the group when run
	 */
	public Runnable submit(PoolShard shard, PieceGroup group, Consumer<PieceGroupResult> done) {
		Optional<OwnedPool> owned = ownedPool(shard);
		if (owned.isEmpty()) {
			done.accept(PieceGroupResult.failed(group, PieceFailure.UNREACHABLE, WaitReport.NONE));
			return () -> {
			};
		}
		return owned.get().submit(group, done);
	}

	/**
	 * Releases results, as {@link PieceService#free} does.
	 * @param pool the pool whose endpoints keep the results
	 * @param handles the results
	 */
	public void free(PoolId pool, List<ResultHandle> handles) {
		for (ResultHandle handle : handles) {
			this.context.endpoints()
				.location(handle)
				.ifPresent((address) -> this.pendingReleases.computeIfAbsent(address, (ignored) -> new ArrayList<>())
					.add(new ReleasedResult(pool, handle)));
		}
		scheduleReleases(RELEASE_DELAY);
	}

	/**
	 * Accepts results that may be released, as {@link PieceService#offer} does.
	 * @param pool the pool whose endpoints keep the results
	 * @param handles the results
	 */
	public void offer(PoolId pool, List<ResultHandle> handles) {
		this.pools.forEach((shard, owned) -> {
			if (shard.pool().equals(pool)) {
				owned.onResultsOffered(handles);
			}
		});
	}

	private void scheduleReleases(Duration delay) {
		if (!this.releaseScheduled && !this.pendingReleases.isEmpty()) {
			this.releaseScheduled = true;
			this.context.loop().schedule("release of results", delay, this::sendReleases);
		}
	}

	/**
	 * Returns the expected wait of a new piece at a shard that this instance owns.
	 * @param shard the shard
	 * @param urgency the urgency of the piece
	 * @return the estimate; zero if no piece was submitted to the shard yet
	 */
	public Duration expectedWait(PoolShard shard, PieceUrgency urgency) {
		OwnedPool owned = this.pools.get(shard);
		return (owned != null) ? owned.expectedWait(urgency) : Duration.ZERO;
	}

	/**
	 * Handles a change of the serving view: sends waiting pieces to endpoints that became
	 * usable.
	 */
	public void onViewChanged() {
		this.pools.values().forEach(OwnedPool::onEndpointsChanged);
	}

	/**
	 * Handles that the links of this instance to the endpoints failed or were restored:
	 * endpoints that could not be reached get calls again.
	 */
	public void onLinksChanged() {
		this.pools.values().forEach(OwnedPool::onLinksChanged);
	}

	private Optional<OwnedPool> ownedPool(PoolShard shard) {
		Optional<PoolTraffic> traffic = this.context.state().pool(shard.pool());
		Optional<BatchCapacity> capacity = traffic.flatMap((found) -> found.pool().batch());
		if (capacity.isEmpty()) {
			return Optional.empty();
		}
		OwnedPool owned = this.pools.get(shard);
		if (owned == null || !owned.capacity().equals(capacity.get())) {
			owned = new OwnedPool(this.context, traffic.get(), shard, capacity.get(),
					(handles) -> free(shard.pool(), handles));
			this.pools.put(shard, owned);
		}
		return Optional.of(owned);
	}

	private void onResultsFreed(PoolId pool, List<ResultHandle> handles) {
		this.pools.forEach((shard, owned) -> {
			if (shard.pool().equals(pool)) {
				owned.onResultsFreed(handles);
			}
		});
	}

	private void sendReleases() {
		this.releaseScheduled = false;
		Map<InetSocketAddress, List<ReleasedResult>> released = Map.copyOf(this.pendingReleases);
		this.pendingReleases.clear();
		released.forEach((address, results) -> {
			if (!acquireWithinLimit(address)) {
				this.pendingReleases.put(address, results);
				return;
			}
			List<ResultHandle> handles = results.stream().map(ReleasedResult::handle).toList();
			Optional<LiveEndpoint> endpoint = endpoint(address);
			OutgoingRequest.Builder release = this.context.endpoints().free(handles).timeout(RELEASE_TIMEOUT);
			OutgoingRequest request = (endpoint.isPresent() ? release : release.ownConnection()).build();
			HttpDestination destination = endpoint.map(LiveEndpoint::destination)
				.orElseGet(() -> new HttpDestination(address));
			this.context.client().send(destination, request, new ReleaseListener(results, endpoint));
		});
		scheduleReleases(HELD_RELEASE_DELAY);
	}

	/**
	 * Counts a release towards the limit of its endpoint. Until it fits, or while the
	 * endpoint stays away, the release waits; its results expire at the endpoint at last.
	 * An endpoint that is leaving still gets releases, which requests in progress need.
	 * @param address the address of the endpoint
	 * @return whether the release may be sent now
	 */
	private boolean acquireWithinLimit(InetSocketAddress address) {
		Optional<LiveEndpoint> found = endpoint(address);
		if (found.isEmpty()) {
			return true;
		}
		LiveEndpoint endpoint = found.get();
		Duration now = this.context.time().elapsed();
		NamedLimitShares limits = this.context.state().pool(endpoint.entry().pool()).orElseThrow().namedLimits();
		boolean staysAway = now.compareTo(endpoint.availability().awayUntil()) < 0;
		if (staysAway || !limits.allows(endpoint, now)) {
			return false;
		}
		limits.recordCall(endpoint);
		return true;
	}

	private Optional<LiveEndpoint> endpoint(InetSocketAddress address) {
		ServingState state = this.context.state();
		return state.endpointAt(address)
			.flatMap((entry) -> state.pool(entry.pool()).flatMap((pool) -> pool.endpoint(entry.id())));
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

		private final Optional<LiveEndpoint> endpoint;

		private int status;

		ReleaseListener(List<ReleasedResult> results, Optional<LiveEndpoint> endpoint) {
			this.results = results;
			this.endpoint = endpoint;
		}

		@Override
		public void onHead(HttpResponse response) {
			this.status = response.status().code();
			EngineContext engine = LocalPieceService.this.context;
			EndpointAnswer answer = engine.endpoints().read(response, Optional.empty());
			this.endpoint
				.ifPresent((called) -> engine.statements().record(called, answer, "release", engine.time().elapsed()));
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
				.forEach(LocalPieceService.this::onResultsFreed);
		}

		@Override
		public void onFailure(CallFailure failure, String detail) {
			LocalPieceService.this.context.log().freeFailed(this.results.size(), failure + ": " + detail);
		}

	}

}
