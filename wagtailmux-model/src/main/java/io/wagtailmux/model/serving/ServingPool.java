package io.wagtailmux.model.serving;

import java.util.Optional;

import io.wagtailmux.model.PoolId;

/**
 * Configuration of a pool of endpoints.
 *
 * @param id the pool's id
 * @param healthPath the path of the health check of its endpoints
 * @param connectionLimit the number of connections that each endpoint accepts from all
 * instances together
 * @param cold the rate limit of an endpoint that has recently started
 * @param engine the capacity of each endpoint; empty if they are not model engines
 * @param batch the capacity of each endpoint for batches; empty if they do not run stages
 * @param range how many endpoints may be ordered; empty if none are ordered
 * @author the wagtailmux developers
 */
public record ServingPool(PoolId id, String healthPath, int connectionLimit, ColdLimit cold,
		Optional<EngineCapacity> engine, Optional<BatchCapacity> batch, Optional<CapacityRange> range) {

}
