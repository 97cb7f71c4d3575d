package io.wagtailmux.decision.choice;

import java.time.Duration;

import io.wagtailmux.model.Endpoint;

/**
 * Endpoint that can receive a call now, with its current load.
 *
 * @param endpoint the endpoint
 * @param inFlight the number of calls that this instance has in flight at the endpoint
 * @param share the number of calls that this instance may have in flight at the endpoint
 * @param reportedLoad the number of calls in flight from all instances, as last reported
 * by the endpoint; at least {@code inFlight}
 * @param serviceTime the expected service time of a call at the endpoint
 * @param linkDelay the one-way network delay to the endpoint's availability zone
 * @param warmLimit the number of concurrent calls that a warm endpoint of the pool can
 * serve
 * @author the wagtailmux developers
 */
public record Candidate(Endpoint endpoint, int inFlight, int share, int reportedLoad, Duration serviceTime,
		Duration linkDelay, int warmLimit) {

	/**
	 * Returns the expected time until a call sent now is answered. The service time grows
	 * linearly with the load, to twice that of a single call at the warm limit, since an
	 * endpoint that batches its calls slows down as the batch fills.
	 * @return the expected time, including the network delay in both directions
	 */
	public Duration expectedFinish() {
		double slowdown = 1 + (double) this.reportedLoad / this.warmLimit;
		long serviceNanos = (long) (this.serviceTime.toNanos() * slowdown);
		return this.linkDelay.multipliedBy(2).plusNanos(serviceNanos);
	}

	/**
	 * Returns whether this instance may send one more call.
	 * @return whether it has fewer calls in flight than its share
	 */
	public boolean free() {
		return this.inFlight < this.share;
	}

}
