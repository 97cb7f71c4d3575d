package io.wagtailmux.model.serving;

import java.util.List;
import java.util.Optional;

/**
 * Rule for the requests with a host and a path prefix: the pools that serve them, their
 * timing and priority, and whether they may be retried.
 *
 * @param name the route's name, for logs and for comparing the responses of two versions
 * during a rollout
 * @param host the host, in lower case
 * @param prefix the path prefix, which starts and ends with a slash
 * @param kind the kind of the requests
 * @param timing the timeout and the latency targets of the requests
 * @param priority the priority of the requests; zero is the most urgent
 * @param pools the pools that serve the route, at least one; copied
 * @param maximumEndpoints the largest number of endpoints that one attempt of a caller
 * may be sent to, including the first
 * @param stages the stages that run before a request is sent to a pool, in the order of
 * their indexes; copied
 * @param anonymous whether callers may send requests without a valid key
 * @param resumable whether a broken stream may be resumed at another endpoint
 * @author the wagtailmux developers
 */
public record Route(String name, String host, String prefix, RequestKind kind, RouteTiming timing, int priority,
		List<WeightedPool> pools, int maximumEndpoints, List<RouteStage> stages, boolean anonymous, boolean resumable) {

	/**
	 * Creates the route.
	 */
	public Route {
		pools = List.copyOf(pools);
		stages = List.copyOf(stages);
	}

	/**
	 * Returns whether a request may run more than once.
	 * @return whether the request may be sent again after an endpoint may have run it
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

	/**
	 * Chooses a pool for a request, so that hashes are distributed in proportion to the
	 * weights of the pools.
	 * @param hash a hash of the request; equal hashes give the same pool
	 * @return the pool with its weight; empty if all weights are zero, so that no pool is
	 * to get requests
	 */
	public Optional<WeightedPool> choosePool(int hash) {
		int total = this.pools.stream().mapToInt(WeightedPool::weight).sum();
		if (total <= 0) {
			return Optional.empty();
		}
		int offset = Math.floorMod(hash, total);
		for (WeightedPool pool : this.pools) {
			offset -= pool.weight();
			if (offset < 0) {
				return Optional.of(pool);
			}
		}
		return Optional.empty();
	}

}
