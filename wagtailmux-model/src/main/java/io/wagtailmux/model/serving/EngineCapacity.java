package io.wagtailmux.model.serving;

/**
 * Capacity of a model engine.
 *
 * @param slots the number of requests that the engine runs concurrently
 * @param cacheTokens the number of tokens that fit into its KV cache
 * @author the wagtailmux developers
 */
public record EngineCapacity(int slots, long cacheTokens) {

}
