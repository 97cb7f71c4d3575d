package io.wagtailmux.decision.capacity;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;

/**
 * Order for a number of endpoints.
 *
 * @param pool the pool
 * @param zone the availability zone
 * @param endpoints how many endpoints the pool should have in the zone
 * @author the wagtailmux developers
 */
public record CapacityOrder(PoolId pool, AvailabilityZoneId zone, int endpoints) {

}
