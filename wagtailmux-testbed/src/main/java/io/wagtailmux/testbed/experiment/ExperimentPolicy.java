package io.wagtailmux.testbed.experiment;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.decision.choice.ChoicePolicy;
import io.wagtailmux.decision.queue.QueuePolicy;

/**
 * Dispatch policies that experiments compare.
 *
 * @author the wagtailmux developers
 */
public enum ExperimentPolicy {

	/** The dispatch policy that instances have by default. */
	STANDARD(DispatchPolicy.STANDARD),

	/** Round-robin endpoint choice, one FIFO queue for all, no early refusal. */
	ROUND_ROBIN_FIFO(DispatchPolicy.BASELINE),

	/** As the standard, but a random endpoint is chosen. */
	RANDOM_CHOICE(new DispatchPolicy(ChoicePolicy.RANDOM, QueuePolicy.FAIR, true)),

	/**
	 * As the standard, but the endpoint to which the instance has the fewest calls in
	 * flight is chosen.
	 */
	LEAST_IN_FLIGHT(new DispatchPolicy(ChoicePolicy.LEAST_IN_FLIGHT, QueuePolicy.FAIR, true)),

	/** As the standard, but endpoints are chosen in turn. */
	ROUND_ROBIN_CHOICE(new DispatchPolicy(ChoicePolicy.ROUND_ROBIN, QueuePolicy.FAIR, true)),

	/** As the standard, but with one FIFO queue for all organisations. */
	FIFO_QUEUE(new DispatchPolicy(ChoicePolicy.EARLIEST_FINISH, QueuePolicy.FIFO, true)),

	/** As the standard, but organisations that were idle are served first. */
	SPARSE_FIRST(new DispatchPolicy(ChoicePolicy.EARLIEST_FINISH, QueuePolicy.FAIR_SPARSE_FIRST, true)),

	/** As the standard, but without early refusal. */
	NO_EARLY_REFUSAL(new DispatchPolicy(ChoicePolicy.EARLIEST_FINISH, QueuePolicy.FAIR, false));

	private final DispatchPolicy dispatchPolicy;

	ExperimentPolicy(DispatchPolicy dispatchPolicy) {
		this.dispatchPolicy = dispatchPolicy;
	}

	/**
	 * Returns the dispatch policy that instances are started with.
	 * @return the dispatch policy
	 */
	public DispatchPolicy dispatchPolicy() {
		return this.dispatchPolicy;
	}

}
