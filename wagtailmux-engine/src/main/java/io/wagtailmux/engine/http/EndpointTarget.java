package io.wagtailmux.engine.http;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;

/**
 * Process of an endpoint that a destination stands for.
 *
 * @param pool its pool
 * @param endpoint its id
 * @param startedAtMillis when the process started, in milliseconds since the epoch; zero
 * if unknown
 * @param zone its availability zone
 * @author the wagtailmux developers
 */
public record EndpointTarget(PoolId pool, EndpointId endpoint, long startedAtMillis, AvailabilityZoneId zone) {

}
