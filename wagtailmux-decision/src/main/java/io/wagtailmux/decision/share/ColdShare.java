package io.wagtailmux.decision.share;

import java.time.Duration;

/**
 * This instance's share of the requests per second that a cold endpoint may receive from
 * all instances. Not thread-safe.
 *
 * <p>
 * The rate for all instances is divided by the number of instances that may be alive. The
 * remainder goes to the first instances in an order that all of them compute alike for
 * the endpoint. With more instances than requests per second, each instance accumulates
 * its fraction over time and may send when the sum reaches one. Each instance's sum
 * starts at its own phase. Differing views of the number of instances then change the
 * total rate only in proportion.
 *
 * @author the wagtailmux developers
 */
public final class ColdShare {

	private static final Duration SECOND = Duration.ofSeconds(1);

	/**
	 * Leaves a margin for differing views and for requests that are delayed in transit.
	 */
	private static final double USED_FRACTION = 0.6;

	/**
	 * A larger margin for accumulated fractions, several of which may be used at once.
	 */
	private static final double USED_FRACTION_WHEN_ACCUMULATING = 0.45;

	/**
	 * After a longer time without a call of {@link #available}, the endpoint may have
	 * become cold again, and accumulation restarts at the phase.
	 */
	private static final Duration MAXIMUM_CHECK_INTERVAL = Duration.ofSeconds(2);

	private final SlidingCount sent = new SlidingCount(SECOND);

	private final double phase;

	private double accumulated;

	private Duration accumulatedAt = MAXIMUM_CHECK_INTERVAL.negated().multipliedBy(2);

	/**
	 * Creates this instance's share for one endpoint.
	 * @param phase the fraction of a request with which accumulation starts, from zero to
	 * below one; spread evenly over the instances
	 */
	public ColdShare(double phase) {
		this.phase = phase;
	}

	/**
	 * Acquires permission for one request if this instance's share is not used up.
	 * @param requestsPerSecond the limit for all instances together
	 * @param instances the number of instances that may be alive, at least one
	 * @param rank this instance's rank among them for the endpoint, from zero
	 * @param now the elapsed time
	 * @return whether a request may be sent
	 */
	public boolean tryAcquire(double requestsPerSecond, int instances, int rank, Duration now) {
		if (!available(requestsPerSecond, instances, rank, now)) {
			return false;
		}
		this.sent.add(now);
		this.accumulated = 0;
		return true;
	}

	/**
	 * Returns whether a request may be sent now, without acquiring the permission.
	 * @param requestsPerSecond the limit for all instances together
	 * @param instances the number of instances that may be alive, at least one
	 * @param rank this instance's rank among them for the endpoint, from zero
	 * @param now the elapsed time
	 * @return whether a request may be sent
	 */
	public boolean available(double requestsPerSecond, int instances, int rank, Duration now) {
		accumulate(requestsPerSecond * USED_FRACTION_WHEN_ACCUMULATING / instances, now);
		int whole = (int) Math.floor(requestsPerSecond * USED_FRACTION);
		if (instances > whole) {
			return this.accumulated >= 1;
		}
		int share = whole / instances + ((rank < whole % instances) ? 1 : 0);
		return this.sent.count(now) < share;
	}

	private void accumulate(double perSecond, Duration now) {
		Duration elapsed = now.minus(this.accumulatedAt);
		this.accumulatedAt = now;
		if (elapsed.compareTo(MAXIMUM_CHECK_INTERVAL) > 0) {
			this.accumulated = this.phase;
			return;
		}
		this.accumulated = Math.min(1, this.accumulated + perSecond * elapsed.toNanos() / 1e9);
	}

}
