package io.wagtailmux.model;

import java.time.Duration;
import java.util.List;

/**
 * Sequence of stages. Each stage receives the output of the previous one, and the first
 * stage the input of the request.
 *
 * @param id the pipeline's id
 * @param stages three to six stages in the order in which they run; copied
 * @param timeout the timeout of a request that does not specify its own; positive
 * @author the wagtailmux developers
 */
public record Pipeline(PipelineId id, List<Stage> stages, Duration timeout) {

	/** The smallest number of stages of a pipeline. */
	public static final int MINIMUM_STAGES = 3;

	/** The largest number of stages of a pipeline. */
	public static final int MAXIMUM_STAGES = 6;

	/**
	 * Creates the pipeline.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_VALUE} if the number of
	 * stages or the timeout is out of range
	 */
	public Pipeline {
		stages = List.copyOf(stages);
		if (stages.size() < MINIMUM_STAGES || stages.size() > MAXIMUM_STAGES) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE, "Pipeline " + id + ": " + stages.size()
					+ " stages, expected " + MINIMUM_STAGES + " to " + MAXIMUM_STAGES);
		}
		if (timeout.isNegative() || timeout.isZero()) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE,
					"Pipeline " + id + ": timeout " + timeout + " is not positive");
		}
	}

}
