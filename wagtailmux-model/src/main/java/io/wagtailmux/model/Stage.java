package io.wagtailmux.model;

/**
 * Step of a pipeline.
 *
 * @param name the stage's name
 * @param pool the pool whose endpoints run the stage
 * @param selector selects the endpoints of the pool that may run the stage
 * @author the wagtailmux developers
 */
public record Stage(StageName name, PoolId pool, Selector selector) {

}
