package io.wagtailmux.decision;

import io.wagtailmux.decision.choice.ChoicePolicy;
import io.wagtailmux.decision.queue.QueuePolicy;

/**
 * Policies by which the tickets of a pool are queued and endpoints are chosen.
 *
 * @param choice how one of several free endpoints is chosen for a call
 * @param queue the order in which waiting tickets are served
 * @param deadlineAware whether a request that is not expected to be served by its
 * deadline is refused at once; if {@code false}, it waits until the deadline has passed
 * @author the wagtailmux developers
 */
public record DispatchPolicy(ChoicePolicy choice, QueuePolicy queue, boolean deadlineAware) {

	/** The policy that an instance uses unless its settings name another one. */
	public static final DispatchPolicy STANDARD = new DispatchPolicy(ChoicePolicy.EARLIEST_FINISH, QueuePolicy.FAIR,
			true);

	/** The policy that experiments compare others with. */
	public static final DispatchPolicy BASELINE = new DispatchPolicy(ChoicePolicy.ROUND_ROBIN, QueuePolicy.FIFO, false);

}
