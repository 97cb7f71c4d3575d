package io.wagtailmux.model.serving;

import java.util.List;

import io.wagtailmux.model.PoolId;

/**
 * Work that is done in pieces before a request can run.
 *
 * @param pool the pool whose endpoints make the pieces
 * @param dependencies the indexes of the stages whose results each piece needs
 * @param resultBytes the approximate size of a piece's result, in bytes
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
