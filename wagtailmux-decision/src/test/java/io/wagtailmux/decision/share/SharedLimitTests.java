package io.wagtailmux.decision.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Limits for all instances together are kept even if instances have different views of
 * how many of them there are.
 */
class SharedLimitTests {

	/**
	 * All instances send as many requests to one cold endpoint as they are allowed to.
	 * @param instances the number of instances
	 * @param known the number of instances that half of them know of; the others know of
	 * all
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "6, 6", "6, 4", "9, 7", "58, 50", "77, 64", "400, 300" })
	void aColdEndpointNeverReceivesMoreThanItsLimit(int instances, int known) {
		double limit = 18 * 1.5 + 5;
		SplittableRandom random = new SplittableRandom(5);
		List<ColdShare> shares = new ArrayList<>();
		for (int index = 0; index < instances; index++) {
			shares.add(new ColdShare(random.nextDouble()));
		}
		List<Duration> sent = new ArrayList<>();
		for (int millis = 0; millis < 40_000; millis += 20) {
			Duration now = Duration.ofMillis(millis);
			for (int index = 0; index < instances; index++) {
				boolean outdated = index % 2 == 0;
				int view = outdated ? known : instances;
				int rank = Math.min(view - 1, outdated ? Math.max(0, index - (instances - known)) : index);
				if (shares.get(index).tryAcquire(limit, view, rank, now)) {
					sent.add(now);
				}
			}
		}
		assertThat(busiestSecond(sent)).isLessThanOrEqualTo((long) limit);
		assertThat(sent).isNotEmpty();
	}

	/**
	 * Every request fails, and each instance retries as often as it is allowed to.
	 * @param instances the number of instances
	 * @param known the number of instances that each of them knows of
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "6, 6", "6, 4", "9, 6", "77, 50" })
	void retriesStayWithinTheBudgetOfEveryWindow(int instances, int known) {
		double ratio = 0.2;
		double slack = 52;
		Duration window = Duration.ofSeconds(10);
		List<RetryBudgetShare> shares = new ArrayList<>();
		for (int index = 0; index < instances; index++) {
			RetryBudgetShare share = new RetryBudgetShare(ratio, window);
			share.updateSlack(slack, known);
			shares.add(share);
		}
		SplittableRandom random = new SplittableRandom(3);
		List<Duration> requests = new ArrayList<>();
		List<Duration> retries = new ArrayList<>();
		for (int millis = 0; millis < 40_000; millis += 10) {
			Duration now = Duration.ofMillis(millis);
			RetryBudgetShare share = shares.get(random.nextInt(instances));
			share.recordFirstCall(now);
			requests.add(now);
			if (share.tryAcquire(now)) {
				retries.add(now);
			}
		}
		for (int start = 0; start < 30_000; start += 250) {
			Duration from = Duration.ofMillis(start);
			long allowed = (long) (ratio * count(requests, from, window) + slack);
			assertThat(count(retries, from, window)).isLessThanOrEqualTo(allowed);
		}
		assertThat(retries).isNotEmpty();
	}

	private static long busiestSecond(List<Duration> sent) {
		return sent.stream().mapToLong((from) -> count(sent, from, Duration.ofSeconds(1))).max().orElse(0);
	}

	private static long count(List<Duration> times, Duration from, Duration span) {
		Duration to = from.plus(span);
		return times.stream().filter((time) -> time.compareTo(from) >= 0 && time.compareTo(to) < 0).count();
	}

}
