package io.wagtailmux.engine.state;

import java.time.Duration;

/**
 * When this instance stops, once it was told to.
 *
 * <p>
 * The balancer goes on to send connections for a while, and callers use the connections
 * that they have. So requests are taken until the process ends, but one that came after
 * the balancer had its time is taken only if it is over before that end.
 *
 * @param noNewConnectionsAt the elapsed time from which the balancer sends nothing new
 * @param endsAt the elapsed time at which the process ends, whatever is in progress
 * @author the wagtailmux developers
 */
public record StopPlan(Duration noNewConnectionsAt, Duration endsAt) {

	/**
	 * Tells whether a request might be cut off by the end of the process.
	 * @param received the elapsed time at which it came
	 * @param deadline the elapsed time up to which it may last
	 * @return whether it is to be refused, so that its caller goes to another instance
	 */
	public boolean refuses(Duration received, Duration deadline) {
		return received.compareTo(this.noNewConnectionsAt) >= 0 && deadline.compareTo(this.endsAt) > 0;
	}

}
