package io.wagtailmux.decision;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Endpoint;

/**
 * What the control thread lets this instance do at an endpoint.
 *
 * @param endpoint the endpoint
 * @param boot the run of the endpoint's process that the share is for, if one is known
 * @param share calls that this instance may have in flight there; zero gives it no new
 * work
 * @param abandonedCallTime how long a call that was given up on may go on running there,
 * counted from when it was given up on
 * @param linkDelay the one-way delay to its availability zone
 * @param reason why the share is what it is, for the decision log
 * @author the wagtailmux developers
 */
public record EndpointView(Endpoint endpoint, Optional<BootId> boot, int share, Duration abandonedCallTime,
		Duration linkDelay, String reason) {

}
