package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.List;

/**
 * Stage of a request with its expected times.
 *
 * @param dependencies the indexes in the plan of the steps that must end before this one
 * starts; copied
 * @param waiting how long the stage's work is expected to wait before it starts
 * @param work how long the work is expected to take once started
 * @author the wagtailmux developers
 */
public record ChainStep(List<Integer> dependencies, Duration waiting, Duration work) {

	/**
	 * Copies the list of dependencies.
	 */
	public ChainStep {
		dependencies = List.copyOf(dependencies);
	}

	Duration time() {
		return this.waiting.plus(this.work);
	}

}
