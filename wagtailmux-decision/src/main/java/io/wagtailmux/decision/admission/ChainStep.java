package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.List;

/**
 * One stage of a chain with the time that it is expected to take.
 *
 * @param dependencies the indexes of the steps that must have ended before
 * @param waiting how long a piece waits until it is begun
 * @param work how long it takes then
 * @author the wagtailmux developers
 */
public record ChainStep(List<Integer> dependencies, Duration waiting, Duration work) {

	/**
	 * Creates the step.
	 */
	public ChainStep {
		dependencies = List.copyOf(dependencies);
	}

	Duration time() {
		return this.waiting.plus(this.work);
	}

}
