package io.wagtailmux.decision;

/**
 * Reason for which a ticket is refused.
 *
 * @author the wagtailmux developers
 */
public enum RefusalReason {

	/** No endpoint of the pool is in service and matches the selector. */
	NO_ELIGIBLE_ENDPOINT,

	/** The number of waiting tickets has reached the pool's queue limit. */
	QUEUE_FULL,

	/** The answer is not expected by the deadline. */
	DEADLINE_UNREACHABLE

}
