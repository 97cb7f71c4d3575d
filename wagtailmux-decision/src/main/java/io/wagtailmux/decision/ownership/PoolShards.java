package io.wagtailmux.decision.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.BatchCapacity;

/**
 * Division of a pool's endpoints into shards. Immutable.
 *
 * <p>
 * Calls are fuller the more endpoints share a queue, but all calls of a queue pass
 * through one instance. So a pool has as few shards as its owners can bear, and more only
 * as it grows. An endpoint keeps its shard while the number of shards stays the same.
 *
 * @author the wagtailmux developers
 */
public final class PoolShards {

	/**
	 * Number of pieces that one owner can send in a second. Each piece takes about 350
	 * bytes, with its inputs and the headers of the calls, so this uses half of a link of
	 * 10 Mbit/s.
	 */
	private static final int PIECES_PER_SECOND = 1500;

	/** With fewer endpoints in a shard, calls are often not full although pieces wait. */
	private static final int MINIMUM_ENDPOINTS = 2;

	private final List<PoolShard> shards;

	/** The shard of each endpoint, so that a larger shard is chosen more often. */
	private final List<PoolShard> shardByEndpoint;

	private PoolShards(List<PoolShard> shards, List<PoolShard> shardByEndpoint) {
		this.shards = shards;
		this.shardByEndpoint = shardByEndpoint;
	}

	/**
	 * Divides a pool.
	 * @param pool the pool
	 * @param endpoints the ids of the endpoints that may get calls
	 * @param capacity the capacity of each endpoint
	 * @return the shards, one if the pool has no endpoints
	 */
	public static PoolShards of(PoolId pool, Collection<EndpointId> endpoints, BatchCapacity capacity) {
		List<PoolShard> shards = divide(pool, endpoints.size(), capacity);
		List<PoolShard> byEndpoint = new ArrayList<>();
		endpoints.forEach((endpoint) -> byEndpoint.add(shardOf(shards, endpoint)));
		return new PoolShards(shards, List.copyOf(byEndpoint));
	}

	/**
	 * Returns the shards of a pool with a given number of endpoints.
	 * @param pool the pool
	 * @param endpoints the number of endpoints
	 * @param capacity the capacity of each endpoint
	 * @return at least one shard
	 */
	public static List<PoolShard> divide(PoolId pool, int endpoints, BatchCapacity capacity) {
		return IntStream.range(0, count(endpoints, capacity)).mapToObj((index) -> new PoolShard(pool, index)).toList();
	}

	private static int count(int endpoints, BatchCapacity capacity) {
		double callSeconds = capacity.expectedTime(capacity.maximumPieces()).toNanos() / 1e9;
		double piecesPerSecond = endpoints * capacity.slots() * capacity.maximumPieces() / callSeconds;
		int needed = (int) Math.ceil(piecesPerSecond / PIECES_PER_SECOND);
		return Math.max(1, Math.min(needed, endpoints / MINIMUM_ENDPOINTS));
	}

	/**
	 * Returns the shards.
	 * @return at least one shard; some may have no endpoints
	 */
	public List<PoolShard> all() {
		return this.shards;
	}

	/**
	 * Returns the shard of an endpoint.
	 * @param endpoint the endpoint
	 * @return its shard
	 */
	public PoolShard shardOf(EndpointId endpoint) {
		return shardOf(this.shards, endpoint);
	}

	/**
	 * Chooses the shard for new work: of two that are drawn at random, larger shards
	 * being drawn more often, the one with the shorter wait. Estimates are old when they
	 * arrive, and all instances read the same ones: if each chose the shortest wait of
	 * all, the work would go to one shard after the other.
	 * @param random the source of random numbers
	 * @param expectedWait returns the expected wait at a shard
	 * @return the shard
	 */
	public PoolShard choose(RandomGenerator random, Function<PoolShard, Duration> expectedWait) {
		PoolShard first = draw(random);
		PoolShard second = draw(random);
		return (expectedWait.apply(second).compareTo(expectedWait.apply(first)) < 0) ? second : first;
	}

	/**
	 * Returns the expected wait of new work, over the shards that it may go to.
	 * @param expectedWait returns the expected wait at a shard
	 * @return the mean, weighted by the numbers of endpoints
	 */
	public Duration meanWait(Function<PoolShard, Duration> expectedWait) {
		if (this.shardByEndpoint.isEmpty()) {
			return expectedWait.apply(this.shards.get(0));
		}
		Duration sum = Duration.ZERO;
		for (PoolShard shard : this.shards) {
			long endpoints = this.shardByEndpoint.stream().filter(shard::equals).count();
			sum = sum.plus(expectedWait.apply(shard).multipliedBy(endpoints));
		}
		return sum.dividedBy(this.shardByEndpoint.size());
	}

	private PoolShard draw(RandomGenerator random) {
		return this.shardByEndpoint.isEmpty() ? this.shards.get(0)
				: this.shardByEndpoint.get(random.nextInt(this.shardByEndpoint.size()));
	}

	private static PoolShard shardOf(List<PoolShard> shards, EndpointId endpoint) {
		if (shards.size() == 1) {
			return shards.get(0);
		}
		return shards.stream()
			.max((one, other) -> Integer.compare(RendezvousHash.of(one.duty(), endpoint),
					RendezvousHash.of(other.duty(), endpoint)))
			.orElseThrow();
	}

}
