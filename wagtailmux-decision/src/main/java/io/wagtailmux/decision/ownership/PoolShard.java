package io.wagtailmux.decision.ownership;

import io.wagtailmux.model.PoolId;

/**
 * A part of the endpoints of a pool that runs stages in batches. One instance collects
 * the pieces for a shard and sends its calls.
 *
 * @param pool the pool
 * @param index the index of the shard in the pool, from zero
 * @author the wagtailmux developers
 */
public record PoolShard(PoolId pool, int index) {

	/**
	 * Returns the name of the duty to own this shard.
	 * @return the name, the same on all instances
	 */
	public String duty() {
		return this.pool + "/" + this.index;
	}

}
