package io.wagtailmux.testbed.standin;

import java.time.Duration;

import io.wagtailmux.model.StageProtocol;

/**
 * The model of an endpoint that a stand-in follows: a concurrency limit that grows with
 * the number of answers since a start, and a call time that grows with the number of
 * calls in flight.
 *
 * @param protocol the protocol of calls
 * @param serviceTime the duration of a call without concurrent ones; a streamed response
 * spreads it over its tokens
 * @param coldLimit the concurrency limit after a start, in calls
 * @param warmLimit the concurrency limit of a warm endpoint, in calls
 * @param warmAfter the number of answers after which the limit doubles
 * @param tokens the number of tokens of a streamed response
 * @author the wagtailmux developers
 */
public record EndpointModel(StageProtocol protocol, Duration serviceTime, int coldLimit, int warmLimit, int warmAfter,
		int tokens) {

	/**
	 * Returns the number of concurrent calls that the endpoint can process.
	 * @param answers the number of answers since its start
	 * @return the cold limit, doubled for every {@link #warmAfter()} answers, up to the
	 * warm limit
	 */
	public int concurrencyLimit(int answers) {
		long doublings = Math.min(answers / this.warmAfter, Integer.SIZE);
		return (int) Math.min(this.warmLimit, (long) this.coldLimit << doublings);
	}

	/**
	 * Returns the duration of a call.
	 * @param inFlight the number of calls in flight when it starts, itself included
	 * @return the duration; it grows linearly with the calls in flight, to almost twice
	 * the service time at the warm limit and further above it
	 */
	public Duration callTime(int inFlight) {
		double factor = 1 + (double) (inFlight - 1) / this.warmLimit;
		return Duration.ofNanos((long) (this.serviceTime.toNanos() * factor));
	}

}
