package io.wagtailmux.model.serving;

import io.wagtailmux.model.PoolId;

/**
 * Pool with its share of the requests of a route.
 *
 * @param pool the pool
 * @param weight its weight relative to the route's other pools, not negative
 * @author the wagtailmux developers
 */
public record WeightedPool(PoolId pool, int weight) {

}
