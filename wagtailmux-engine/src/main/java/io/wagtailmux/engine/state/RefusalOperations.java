package io.wagtailmux.engine.state;

import java.util.List;
import java.util.Set;

import io.wagtailmux.decision.poison.Refusal;
import io.wagtailmux.model.PoolId;

/**
 * What operators can do with refusals of prompt parts. Called on the traffic thread.
 *
 * @author the wagtailmux developers
 */
public interface RefusalOperations {

	/**
	 * Returns the refusals that this instance knows.
	 * @return a copy, with those that were lifted or cleared
	 */
	List<PoolRefusal> refusals();

	/**
	 * Lifts a refusal for all instances.
	 * @param pool the pool
	 * @param parts the ids of all parts of the refusal
	 * @return whether there was such a refusal
	 */
	boolean lift(PoolId pool, Set<String> parts);

	/**
	 * Refusal of prompt parts for the endpoints of a pool.
	 *
	 * @param pool the pool
	 * @param refusal the refusal
	 */
	record PoolRefusal(PoolId pool, Refusal refusal) {

	}

}
