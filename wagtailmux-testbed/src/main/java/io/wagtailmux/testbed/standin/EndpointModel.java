package io.wagtailmux.testbed.standin;

import java.time.Duration;

import io.wagtailmux.model.StageProtocol;

/**
 * How a stand-in of an endpoint behaves.
 *
 * @param protocol how it is called
 * @param serviceTime how long a lone call takes; a streamed one spreads it over its
 * tokens
 * @param coldLimit calls in flight that it bears after a start
 * @param warmLimit calls in flight that it bears once warm
 * @param warmAfter answers after which what it bears doubles
 * @param tokens tokens of a streamed answer
 * @author the wagtailmux developers
 */
public record EndpointModel(StageProtocol protocol, Duration serviceTime, int coldLimit, int warmLimit, int warmAfter,
		int tokens) {

	/**
	 * Returns the calls in flight that it bears.
	 * @param answers answers since its start
	 * @return the limit
	 */
	public int concurrencyLimit(int answers) {
		long doublings = Math.min(answers / this.warmAfter, Integer.SIZE);
		return (int) Math.min(this.warmLimit, (long) this.coldLimit << doublings);
	}

	/**
	 * Returns how long a call takes.
	 * @param inFlight calls in flight when it starts, itself included
	 * @return the time; it doubles as the batch fills to the limit, and grows on above it
	 */
	public Duration callTime(int inFlight) {
		double crowding = 1 + (double) (inFlight - 1) / this.warmLimit;
		return Duration.ofNanos((long) (this.serviceTime.toNanos() * crowding));
	}

}
