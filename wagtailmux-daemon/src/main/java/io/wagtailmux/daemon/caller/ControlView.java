package io.wagtailmux.daemon.caller;

import io.wagtailmux.daemon.traffic.TrafficView;

/**
 * Read access to the control state of an instance. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */

public interface ControlView {

	/**
	 * Returns the latest snapshot of the control state.
	 * @return an immutable snapshot; its configuration has version zero before one is
	 * accepted
	 */
	TrafficView view();

	/**
	 * Returns whether the instance can serve requests.
	 * @return whether load balancers should send requests to this instance
	 */
	boolean ready();

}
