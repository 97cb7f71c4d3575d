package io.wagtailmux.engine.state;

import java.util.List;

import io.wagtailmux.model.PoolId;

/**
 * What one instance reports to the others on the limits of a pool's endpoints.
 *
 * @param pool the pool
 * @param demandPerSecond the requests per second that the instance has for the pool
 * @param sightings the limits that endpoints named in their answers to the instance
 * @author the wagtailmux developers
 */
public record PoolLimits(PoolId pool, double demandPerSecond, List<LimitSighting> sightings) {

}
