package io.wagtailmux.decision.duty;

/**
 * Calls to the platform that only the holder of the lease makes.
 *
 * @author the wagtailmux developers
 */
public enum Duty {

	/** Reports how many requests of each organisation endpoints began to run. */
	USAGE,

	/** Orders the number of endpoints of a pool in an availability zone. */
	CAPACITY

}
