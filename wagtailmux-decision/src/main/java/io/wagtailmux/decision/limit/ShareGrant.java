package io.wagtailmux.decision.limit;

import java.time.Duration;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.EndpointId;

/**
 * Permission of an endpoint's limiter for an instance to have calls in flight at the
 * endpoint.
 *
 * @param endpoint the endpoint
 * @param boot the incarnation of the endpoint's process to which the grant applies
 * @param proven whether that incarnation is proven to sustain its warm limit, so that
 * floors apply
 * @param units the number of calls that may be in flight above the floor
 * @param lifetime how long the grant is valid, counted from when the instance requested
 * it
 * @author the wagtailmux developers
 */
public record ShareGrant(EndpointId endpoint, BootId boot, boolean proven, int units, Duration lifetime) {

}
