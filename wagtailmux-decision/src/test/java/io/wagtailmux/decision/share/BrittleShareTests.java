package io.wagtailmux.decision.share;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against instances that together send a brittle endpoint more than it runs at the
 * same time, so that it turns requests away and falls over, and against places that stay
 * empty although requests wait.
 */
class BrittleShareTests {

	private static final Duration SERVICE_TIME = Duration.ofMillis(40);

	private static final Duration STEP = Duration.ofMillis(1);

	private static final int STEPS = 4000;

	/** Requests that the endpoint still lets wait. */
	private static final double WAITING_PART = 0.5;

	@ParameterizedTest
	@CsvSource({ "1, 6", "6, 6", "6, 128", "9, 128", "9, 8", "77, 6", "77, 24", "77, 128", "400, 6", "400, 64" })
	void allInstancesTogetherUseThePlacesAndNoMore(int instances, int places) {
		SplittableRandom random = new SplittableRandom(instances * 1000L + places);
		BrittleShare[] shares = IntStream.range(0, instances)
			.mapToObj((rank) -> new BrittleShare(rank / (double) instances))
			.toArray(BrittleShare[]::new);
		int[] inFlight = new int[instances];
		Deque<Call> calls = new ArrayDeque<>();
		Duration now = Duration.ofSeconds(10);
		for (BrittleShare share : shares) {
			share.record(true, now);
		}
		int most = 0;
		long sum = 0;
		for (int step = 0; step < STEPS; step++) {
			now = now.plus(STEP);
			while (!calls.isEmpty() && calls.peekFirst().end().compareTo(now) <= 0) {
				inFlight[calls.pollFirst().instance()]--;
			}
			int first = random.nextInt(instances);
			for (int index = 0; index < instances; index++) {
				int instance = (first + index) % instances;
				if (shares[instance].allows(inFlight[instance], places, instances, instance, SERVICE_TIME, now)) {
					shares[instance].recordCall();
					inFlight[instance]++;
					calls.addLast(new Call(instance, now.plus(SERVICE_TIME)));
				}
			}
			most = Math.max(most, calls.size());
			sum += calls.size();
		}
		assertThat((double) most).isLessThanOrEqualTo(places * (1 + WAITING_PART));
		double leastUsed = (instances <= 2 * places) ? 0.8 : 0.5;
		assertThat(sum / (double) STEPS).isGreaterThan(places * leastUsed);
	}

	@Test
	void anEndpointThatDoesNotSaySoGetsAnyNumber() {
		BrittleShare share = new BrittleShare(0);
		assertThat(share.allows(500, 6, 77, 76, SERVICE_TIME, Duration.ofSeconds(10))).isTrue();
		assertThat(share.record(true, Duration.ofSeconds(10))).isTrue();
		assertThat(share.allows(500, 6, 77, 76, SERVICE_TIME, Duration.ofSeconds(10))).isFalse();
		assertThat(share.record(false, Duration.ofSeconds(11))).isTrue();
		assertThat(share.allows(500, 6, 77, 76, SERVICE_TIME, Duration.ofSeconds(11))).isTrue();
	}

	@Test
	void aStatementIsNotReliedOnForGood() {
		BrittleShare share = new BrittleShare(0);
		share.record(true, Duration.ofSeconds(10));
		assertThat(share.allows(1, 6, 77, 76, SERVICE_TIME, Duration.ofSeconds(31))).isTrue();
	}

	private record Call(int instance, Duration end) {

	}

}
