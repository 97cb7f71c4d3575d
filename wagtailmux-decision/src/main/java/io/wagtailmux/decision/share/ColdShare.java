package io.wagtailmux.decision.share;

import java.time.Duration;

/**
 * This instance's part of the requests that a cold endpoint may get in a second.
 *
 * <p>
 * The number for all instances is divided by the instances that may be alive. What cannot
 * be divided goes to the instances that come first in an order that all of them work out
 * alike for the endpoint. With more instances than requests, each instance collects its
 * fraction over time, from a start of its own, so that views that differ change the sum
 * only in proportion.
 *
 * @author the wagtailmux developers
 */
public final class ColdShare {

	private static final Duration SECOND = Duration.ofSeconds(1);

	/** Keeps room for views that differ and for requests that are late on their way. */
	private static final double USED_PART = 0.6;

	/** Fractions that come due together by chance need more room. */
	private static final double USED_PART_OF_FRACTIONS = 0.45;

	/** An endpoint that was not asked about for longer may be cold anew. */
	private static final Duration CONTINUITY = Duration.ofSeconds(2);

	private final SlidingCount sent = new SlidingCount(SECOND);

	private final double phase;

	private double collected;

	private Duration collectedAt = CONTINUITY.negated().multipliedBy(2);

	/**
	 * Creates the share of one endpoint.
	 * @param phase where this instance's fraction starts, from zero to below one; spread
	 * evenly over instances
	 */
	public ColdShare(double phase) {
		this.phase = phase;
	}

	/**
	 * Takes a request if there is one left in this second.
	 * @param requestsPerSecond the number for all instances
	 * @param instances the instances that may be alive, at least one
	 * @param rank this instance's place among them for the endpoint, from zero
	 * @param now the elapsed time
	 * @return whether a request may be sent
	 */
	public boolean tryAcquire(double requestsPerSecond, int instances, int rank, Duration now) {
		if (!available(requestsPerSecond, instances, rank, now)) {
			return false;
		}
		this.sent.add(now);
		this.collected = 0;
		return true;
	}

	/**
	 * Tells whether a request is left in this second, without taking it.
	 * @param requestsPerSecond the number for all instances
	 * @param instances the instances that may be alive, at least one
	 * @param rank this instance's place among them for the endpoint, from zero
	 * @param now the elapsed time
	 * @return whether a request may be sent
	 */
	public boolean available(double requestsPerSecond, int instances, int rank, Duration now) {
		collect(requestsPerSecond * USED_PART_OF_FRACTIONS / instances, now);
		int whole = (int) Math.floor(requestsPerSecond * USED_PART);
		if (instances > whole) {
			return this.collected >= 1;
		}
		int own = whole / instances + ((rank < whole % instances) ? 1 : 0);
		return this.sent.count(now) < own;
	}

	private void collect(double perSecond, Duration now) {
		Duration passed = now.minus(this.collectedAt);
		this.collectedAt = now;
		if (passed.compareTo(CONTINUITY) > 0) {
			this.collected = this.phase;
			return;
		}
		this.collected = Math.min(1, this.collected + perSecond * passed.toNanos() / 1e9);
	}

}
