package io.wagtailmux.engine.state;

import java.time.Duration;

/**
 * Times at which an instance that was asked to stop reaches the steps of its shutdown.
 *
 * <p>
 * The load balancer opens new connections for a while, and callers go on using open ones.
 * Requests are therefore accepted until the process ends. A request that arrives after
 * the load balancer should have stopped opening connections is accepted only if its
 * deadline is not later than that end.
 *
 * @param noNewConnectionsAt the elapsed time from which the load balancer opens no new
 * connections
 * @param endsAt the elapsed time at which the process ends, whatever is in progress
 * @author the wagtailmux developers
 */
public record StopPlan(Duration noNewConnectionsAt, Duration endsAt) {

	/**
	 * Returns whether a request has to be refused because the end of the process might
	 * interrupt it.
	 * @param received the elapsed time at which the request arrived
	 * @param deadline the elapsed time at the request's deadline
	 * @return whether to refuse it, so that the caller retries at another instance
	 */
	public boolean refuses(Duration received, Duration deadline) {
		return received.compareTo(this.noNewConnectionsAt) >= 0 && deadline.compareTo(this.endsAt) > 0;
	}

}
