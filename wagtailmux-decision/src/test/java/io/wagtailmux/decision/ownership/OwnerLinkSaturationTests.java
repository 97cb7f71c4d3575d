package io.wagtailmux.decision.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.serving.BatchCapacity;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a pool whose calls fill the network link of the one instance that sends
 * them, whatever the size of the pool and of the machines.
 */
class OwnerLinkSaturationTests {

	private static final PoolId POOL = new PoolId("portal");

	/** Measured bytes of a piece with four inputs, with the headers of its call. */
	private static final double BYTES_PER_PIECE = 350;

	private static final double SMALL_LINK_BITS = 7e6;

	private static final InstanceCapacity SMALL = new InstanceCapacity(0.36, 7);

	private static final InstanceCapacity LARGE = new InstanceCapacity(1.5, 140);

	@ParameterizedTest
	@ValueSource(ints = { 18, 60, 200 })
	void aFullyUsedPoolFitsIntoTheLinksOfItsOwners(int endpoints) {
		BatchCapacity capacity = capacity(93, 1.858);
		PoolShards shards = PoolShards.of(POOL, endpoints(endpoints), capacity);
		double piecesPerSecond = endpoints * 93 / (capacity.expectedTime(93).toNanos() / 1e9);
		double bitsPerOwner = piecesPerSecond * BYTES_PER_PIECE * 8 / shards.all().size();
		assertThat(bitsPerOwner).isLessThan(SMALL_LINK_BITS * 0.75);
	}

	@ParameterizedTest
	@CsvSource({ "4, 35, 4.914, 1", "4, 52, 3.346, 1", "4, 7, 24, 1", "1, 2000, 0.01, 1", "0, 93, 1.858, 1" })
	void aSmallPoolHasOneShardSoThatItsCallsAreFull(int endpoints, int maximumPieces, double pieceMillis,
			int expected) {
		assertThat(PoolShards.divide(POOL, endpoints, capacity(maximumPieces, pieceMillis))).hasSize(expected);
	}

	@ParameterizedTest
	@ValueSource(ints = { 18, 60 })
	void eachEndpointHasOneShardAndKeepsItWhenAnotherLeaves(int count) {
		BatchCapacity capacity = capacity(93, 1.858);
		List<EndpointId> all = endpoints(count);
		PoolShards before = PoolShards.of(POOL, all, capacity);
		PoolShards after = PoolShards.of(POOL, all.subList(0, count - 1), capacity);
		assertThat(after.all()).isEqualTo(before.all());
		assertThat(all).allSatisfy((endpoint) -> assertThat(after.shardOf(endpoint)).isEqualTo(before.shardOf(endpoint))
			.isIn(before.all()));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void newWorkAvoidsTheShardWithTheLongestWaitWithoutFloodingAnother(long seed) {
		PoolShards shards = PoolShards.of(POOL, endpoints(18), capacity(93, 1.858));
		PoolShard slow = shards.all().get(0);
		SplittableRandom random = new SplittableRandom(seed);
		Map<PoolShard, Integer> chosen = new HashMap<>();
		for (int group = 0; group < 3000; group++) {
			chosen.merge(shards.choose(random, (shard) -> shard.equals(slow) ? Duration.ofSeconds(1) : Duration.ZERO),
					1, Integer::sum);
		}
		long slowEndpoints = endpoints(18).stream().filter((each) -> shards.shardOf(each).equals(slow)).count();
		double share = slowEndpoints / 18.0;
		assertThat(chosen.getOrDefault(slow, 0) / 3000.0).isLessThan(share * share + 0.05);
		assertThat(chosen.keySet()).hasSizeGreaterThan(1);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5 })
	void mostDutiesBelongToLargeMachinesAndAllAgreeOnTheOwner(int start) {
		List<DutyCandidate> candidates = IntStream.range(0, 77)
			.mapToObj((number) -> new DutyCandidate(new InstanceId("instance-" + start + "-" + number),
					(number < 10) ? LARGE : SMALL))
			.toList();
		int large = 0;
		Set<InstanceId> owners = new HashSet<>();
		for (int index = 0; index < 200; index++) {
			String duty = new PoolShard(POOL, index).duty();
			DutyCandidate owner = DutyCandidate.first(candidates, duty, 1).get(0);
			assertThat(candidates).noneMatch((other) -> owner.yieldsTo(other, duty));
			large += owner.capacity().equals(LARGE) ? 1 : 0;
			owners.add(owner.id());
		}
		assertThat(large).isGreaterThan(160);
		assertThat(owners).hasSizeGreaterThanOrEqualTo(10);
	}

	private static List<EndpointId> endpoints(int count) {
		return IntStream.range(0, count).mapToObj((number) -> new EndpointId("endpoint-" + number)).toList();
	}

	private static BatchCapacity capacity(int maximumPieces, double pieceMillis) {
		return new BatchCapacity(1, 2, maximumPieces, Duration.ofMillis(200),
				Duration.ofNanos((long) (pieceMillis * 1e6)), 1_000_000, Duration.ofSeconds(4));
	}

}
