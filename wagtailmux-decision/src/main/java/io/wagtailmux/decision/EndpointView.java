package io.wagtailmux.decision;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Endpoint;

/**
 * Endpoint of a pool with the limits that the control thread has set for this instance.
 *
 * @param endpoint the endpoint
 * @param boot the incarnation of the endpoint's process that the share was granted for;
 * empty if it is not known
 * @param share the number of calls that this instance may have in flight at the endpoint;
 * zero means that no new calls are sent
 * @param abandonedCallTime how long the endpoint may keep running a call after this
 * instance has stopped waiting for it
 * @param linkDelay the one-way network delay to the endpoint's availability zone
 * @param reason how the share was determined, as text for the decision log
 * @author the wagtailmux developers
 */
public record EndpointView(Endpoint endpoint, Optional<BootId> boot, int share, Duration abandonedCallTime,
		Duration linkDelay, String reason) {

}
