package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Refuses a request that cannot be answered before its deadline, and says when it could
 * be.
 *
 * <p>
 * It answers load above what the stages bear: a request that would wait until its
 * deadline passes takes work away from others and gains its caller nothing. The times to
 * come back are spread, so that callers who were refused together do not return together.
 *
 * @author the wagtailmux developers
 */
public final class Admission {

	private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(200);

	private final RandomGenerator random;

	/**
	 * Creates the decision.
	 * @param random the seeded source of random numbers
	 */
	public Admission(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Judges a request.
	 * @param expectedFinish when its answer is expected, from now
	 * @param left the time until its deadline
	 * @return when to come back if it is refused; nothing if it is let in
	 */
	public Optional<Duration> evaluate(Duration expectedFinish, Duration left) {
		if (expectedFinish.compareTo(left) <= 0) {
			return Optional.empty();
		}
		return Optional.of(retryAfter(expectedFinish.minus(left)));
	}

	/**
	 * Returns when a request that is refused is to come back.
	 * @param excess by how much it would be late now
	 * @return the time, spread over as much again
	 */
	public Duration retryAfter(Duration excess) {
		Duration least = (excess.compareTo(SHORTEST_RETRY_AFTER) > 0) ? excess : SHORTEST_RETRY_AFTER;
		return least.plusNanos((long) (this.random.nextDouble() * least.toNanos()));
	}

}
