package io.wagtailmux.daemon.traffic;

import io.wagtailmux.daemon.endpoint.CallResult;
import io.wagtailmux.decision.Assignment;

/**
 * Receives the results of calls to endpoints.
 *
 * @author the wagtailmux developers
 */
@FunctionalInterface
public interface CallListener {

	/**
	 * Handles the end of a call. Called on the thread of the request; must not block.
	 * @param assignment the assignment of the call to an endpoint
	 * @param result the result of the call
	 */
	void onCallEnded(Assignment assignment, CallResult result);

}
