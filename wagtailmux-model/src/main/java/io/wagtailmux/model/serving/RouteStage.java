package io.wagtailmux.model.serving;

import java.util.List;

import io.wagtailmux.model.PoolId;

/**
 * Stage of a route, which runs as independent pieces before the request is sent to a
 * pool.
 *
 * @param pool the pool whose endpoints run the pieces
 * @param dependencies the indexes of the stages whose results are the input of each
 * piece; copied
 * @param resultBytes the approximate size of the result of a piece, in bytes
 * @author the wagtailmux developers
 */
public record RouteStage(PoolId pool, List<Integer> dependencies, long resultBytes) {

	/**
	 * Creates the stage.
	 */
	public RouteStage {
		dependencies = List.copyOf(dependencies);
	}

}
