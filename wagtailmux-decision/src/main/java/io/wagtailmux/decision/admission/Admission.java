package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Admission control: refuses requests that are not expected to be answered by their
 * deadline, and those that would be late only because of the work that goes first.
 *
 * <p>
 * Under overload, a request that misses its deadline uses capacity that other requests
 * need, and its answer is useless to the caller. While more arrives than a stage bears,
 * the queue would grow until all requests are late, although the same work would serve a
 * part of them in time; so what would not meet its target is refused at once. Nothing is
 * refused for its target where it would not wait. Retry times have random jitter, so that
 * callers that were refused together do not retry together. Not safe for use by several
 * threads unless the source of random numbers is.
 *
 * @author the wagtailmux developers
 */
public final class Admission {

	private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

	private final RandomGenerator random;

	/**
	 * Creates the admission control.
	 * @param random a seeded source of random numbers, for the jitter
	 */
	public Admission(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Decides whether a request with stages is admitted.
	 * @param plan the expected times of the stages
	 * @param untilTarget the time until its answer should start
	 * @param untilDeadline the time until its deadline
	 * @return the time after which to retry if the request is refused; empty if it is
	 * admitted
	 */
	public Optional<Duration> evaluate(ChainPlan plan, Duration untilTarget, Duration untilDeadline) {
		boolean reachable = plan.shortestFinish().compareTo(untilTarget) <= 0;
		Optional<Duration> refused = evaluate(plan.expectedFinish(), untilDeadline);
		return (refused.isPresent() || !reachable) ? refused : evaluate(plan.finishBehindOthers(), untilTarget);
	}

	/**
	 * Decides whether a request is admitted.
	 * @param expectedFinish the time from now until its answer is expected
	 * @param remaining the time from now until its deadline
	 * @return the time after which to retry if the request is refused; empty if it is
	 * admitted
	 */
	public Optional<Duration> evaluate(Duration expectedFinish, Duration remaining) {
		if (expectedFinish.compareTo(remaining) <= 0) {
			return Optional.empty();
		}
		return Optional.of(retryAfter(expectedFinish.minus(remaining)));
	}

	/**
	 * Returns the time after which a refused request should be retried.
	 * @param excess by how much its answer would miss the deadline; any value below 200
	 * ms counts as 200 ms
	 * @return a random time between the excess and twice the excess
	 */
	public Duration retryAfter(Duration excess) {
		Duration least = (excess.compareTo(MIN_RETRY_AFTER) > 0) ? excess : MIN_RETRY_AFTER;
		return least.plusNanos((long) (this.random.nextDouble() * least.toNanos()));
	}

}
