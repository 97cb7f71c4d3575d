package io.wagtailmux.decision.share;

import java.time.Duration;

/**
 * This instance's share of a limited request rate: a token bucket whose rate may change
 * at any time. Not thread-safe.
 *
 * <p>
 * An instance whose share is less than a request in a while saves up for one. A saved
 * request that is not used lapses after a time, so that the requests that all instances
 * together have saved stay in proportion to the limit, however many instances there are.
 * The time is longer for a lower limit, since an absolute number of requests is harmless
 * above any limit.
 *
 * @author the wagtailmux developers
 */
public final class RateShare {

	/** Time for which a share of several requests may be saved up. */
	private static final double BURST_SECONDS = 0.5;

	/** Time after which a single saved request lapses, without regard to the limit. */
	private static final double HOLD_SECONDS = 1.2;

	/** The requests that may be saved in addition, whatever the limit. */
	private static final double HELD_REQUESTS = 1.5;

	/** Bounds by how much lapses are made up for in advance. */
	private static final double LEAST_USED_PART = 0.75;

	/** Saving goes on while a request is saved, but a second one is not. */
	private static final double MAXIMUM_SAVED = 1.99;

	private double tokens;

	private double heldSeconds;

	private Duration updatedAt;

	/**
	 * Creates a share.
	 * @param phase the fraction of a request with which it begins, from zero to below
	 * one; spread evenly over the instances, so that they do not send at the same time
	 */
	public RateShare(double phase) {
		this.tokens = phase;
	}

	/**
	 * Returns whether a request may be sent now.
	 * @param ownRate the requests per second that this instance may send
	 * @param totalRate the requests per second that all instances together may send
	 * @param demand the requests per second that this instance has to send
	 * @param now the elapsed time
	 * @return whether a request may be sent
	 */
	public boolean available(double ownRate, double totalRate, double demand, Duration now) {
		return tokens(ownRate, totalRate, demand, now) >= 1;
	}

	/**
	 * Returns the requests that may be sent now.
	 * @param ownRate the requests per second that this instance may send
	 * @param totalRate the requests per second that all instances together may send
	 * @param demand the requests per second that this instance has to send
	 * @param now the elapsed time
	 * @return the number, with fractions; negative after requests beyond the share
	 */
	public double tokens(double ownRate, double totalRate, double demand, Duration now) {
		if (this.updatedAt != null && ownRate > 0) {
			advance(ownRate, totalRate, demand, now.minus(this.updatedAt).toNanos() / 1e9);
		}
		this.updatedAt = now;
		return this.tokens;
	}

	/**
	 * Records a request, whether or not it was available.
	 */
	public void acquire() {
		this.tokens--;
		this.heldSeconds = 0;
	}

	private void advance(double ownRate, double totalRate, double demand, double seconds) {
		double capacity = ownRate * BURST_SECONDS;
		if (capacity > 1) {
			this.tokens = Math.min(capacity, this.tokens + ownRate * seconds);
			this.heldSeconds = 0;
			return;
		}
		double hold = HOLD_SECONDS + HELD_REQUESTS / totalRate;
		double usedPart = Math.max(LEAST_USED_PART, 1 - Math.exp(-demand * hold));
		double rate = ownRate / usedPart;
		double saving = Math.max(0, 1 - this.tokens) / rate;
		this.tokens = Math.min(MAXIMUM_SAVED, this.tokens + rate * seconds);
		this.heldSeconds += Math.max(0, seconds - saving);
		if (this.heldSeconds >= hold) {
			startAgain(rate, hold, this.heldSeconds - hold);
		}
	}

	/**
	 * Continues after a saved request has lapsed, perhaps several times.
	 * @param ownRate the requests per second that this instance may send
	 * @param hold the time after which a saved request lapses, in seconds
	 * @param seconds the time since the first one lapsed
	 */
	private void startAgain(double ownRate, double hold, double seconds) {
		double position = seconds % (1 / ownRate + hold);
		this.tokens = Math.min(MAXIMUM_SAVED, (this.tokens - 1 + position * ownRate) % MAXIMUM_SAVED);
		this.heldSeconds = 0;
	}

}
