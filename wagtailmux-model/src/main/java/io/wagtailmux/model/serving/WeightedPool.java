package io.wagtailmux.model.serving;

import io.wagtailmux.model.PoolId;

/**
 * Pool with its share of the requests of a route.
 *
 * @param pool the pool
 * @param weight its weight relative to the route's other pools, not negative; a pool of
 * weight zero gets no requests if another pool has a larger weight
 * @author the wagtailmux developers
 */
public record WeightedPool(PoolId pool, int weight) {

}
