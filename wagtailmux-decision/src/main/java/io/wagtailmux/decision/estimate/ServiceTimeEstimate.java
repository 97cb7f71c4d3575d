package io.wagtailmux.decision.estimate;

import java.time.Duration;

/**
 * Exponentially weighted mean of service times, which decays to the configured expected
 * time while there are no samples.
 *
 * <p>
 * Without the decay, a pool whose estimate exceeds every deadline would get no more
 * calls, and its recovery would go unnoticed. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class ServiceTimeEstimate {

	/** The weight of a new sample in the mean. */
	private static final double GAIN = 0.125;

	private static final double HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

	private final double expectedNanos;

	private double meanNanos;

	private Duration sampledAt = Duration.ZERO;

	private boolean sampled;

	/**
	 * Creates an estimate.
	 * @param expected the expected service time, which is the mean until the first sample
	 */
	public ServiceTimeEstimate(Duration expected) {
		this.expectedNanos = expected.toNanos();
		this.meanNanos = this.expectedNanos;
	}

	/**
	 * Adds a sample.
	 * @param sample the duration of a call
	 * @param now the elapsed time of the instance's clock
	 */
	public void add(Duration sample, Duration now) {
		double previousNanos = mean(now).toNanos();
		this.meanNanos = this.sampled ? previousNanos + GAIN * (sample.toNanos() - previousNanos) : sample.toNanos();
		this.sampled = true;
		this.sampledAt = now;
	}

	/**
	 * Returns the current mean.
	 * @param now the elapsed time of the instance's clock
	 * @return the weighted mean of the samples; its distance from the expected time
	 * halves with each second since the last sample
	 */
	public Duration mean(Duration now) {
		double age = Math.max(0, now.minus(this.sampledAt).toNanos());
		double weight = Math.pow(0.5, age / HALF_LIFE_NANOS);
		return Duration.ofNanos((long) (this.expectedNanos + (this.meanNanos - this.expectedNanos) * weight));
	}

}
