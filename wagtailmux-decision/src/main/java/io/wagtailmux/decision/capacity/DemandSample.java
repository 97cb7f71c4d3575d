package io.wagtailmux.decision.capacity;

/**
 * Demand for a pool that one instance sees.
 *
 * @param busy the requests that it has at the pool's endpoints now
 * @param arrivals the requests for the pool since its start
 * @param refused those of them that it refused for lack of room
 * @author the wagtailmux developers
 */
public record DemandSample(int busy, long arrivals, long refused) {

}
