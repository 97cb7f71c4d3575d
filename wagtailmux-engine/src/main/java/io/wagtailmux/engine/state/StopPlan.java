package io.wagtailmux.engine.state;

import java.time.Duration;

/**
 * Times at which an instance that was asked to stop reaches the steps of its shutdown.
 *
 * <p>
 * The load balancer opens new connections for a while, and callers go on using open ones.
 * Requests are therefore accepted until the end. A request that arrives after the load
 * balancer should have stopped opening connections is accepted only if its deadline is
 * not later than that end. A request that no endpoint has, and whose answer is expected
 * later, is refused at any time, so that its caller has time left to retry at another
 * instance.
 *
 * @param noNewConnectionsAt the elapsed time from which the load balancer opens no new
 * connections
 * @param endsAt the elapsed time at which each request still in progress gets its last
 * answer; the process ends shortly after it
 * @author the wagtailmux developers
 */
public record StopPlan(Duration noNewConnectionsAt, Duration endsAt) {

	/**
	 * Returns whether a request has to be refused because the end might interrupt it.
	 * @param received the elapsed time at which the whole request had arrived
	 * @param deadline the elapsed time at the request's deadline
	 * @return whether to refuse it, so that the caller retries at another instance
	 */
	public boolean refuses(Duration received, Duration deadline) {
		return received.compareTo(this.noNewConnectionsAt) >= 0 && deadline.compareTo(this.endsAt) > 0;
	}

	/**
	 * Returns whether an answer is expected too late.
	 * @param now the elapsed time
	 * @param expectedFinish the time from now until the answer is expected
	 * @return whether the end comes first
	 */
	public boolean endsBefore(Duration now, Duration expectedFinish) {
		return now.plus(expectedFinish).compareTo(this.endsAt) > 0;
	}

	/**
	 * Returns whether the requests in progress get their last answers now.
	 * @param now the elapsed time
	 * @return whether the end has come
	 */
	public boolean isOver(Duration now) {
		return now.compareTo(this.endsAt) >= 0;
	}

}
