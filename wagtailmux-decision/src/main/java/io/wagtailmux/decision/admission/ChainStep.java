package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.List;

import io.wagtailmux.model.serving.BatchCapacity;

/**
 * Stage of a request with its expected times.
 *
 * @param dependencies the indexes in the plan of the steps that must end before this one
 * starts; copied
 * @param waiting how long the stage's work is expected to wait before it starts
 * @param work how long the work is expected to take once started
 * @author the wagtailmux developers
 */
public record ChainStep(List<Integer> dependencies, ExpectedWait waiting, Duration work) {

	/**
	 * Copies the list of dependencies.
	 */
	public ChainStep {
		dependencies = List.copyOf(dependencies);
	}

	/**
	 * Returns the step of a stage whose pieces run in batches.
	 * @param dependencies the indexes of the steps that must end before
	 * @param pieces the number of its pieces
	 * @param capacity the capacity of an endpoint
	 * @param waiting how long the pieces are expected to wait
	 * @return the step, whose calls are full: while more pieces arrive than the pool
	 * bears they are, and a request that starts at the last moment has no time to spare
	 */
	public static ChainStep of(List<Integer> dependencies, int pieces, BatchCapacity capacity, ExpectedWait waiting) {
		return new ChainStep(dependencies, waiting, capacity.expectedTime(Math.max(pieces, capacity.maximumPieces())));
	}

	Duration time() {
		return this.waiting.time().plus(this.work);
	}

	Duration timeBehindOthers() {
		return this.waiting.ahead().plus(this.work);
	}

}
