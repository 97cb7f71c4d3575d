package io.wagtailmux.decision.duty;

/**
 * Whether an instance should hold the duties.
 *
 * @author the wagtailmux developers
 */
public enum LeaseWish {

	/** It should take them, and keep them. */
	TAKE,

	/** It should keep them if it has them, but not take them. */
	KEEP,

	/** It should release them if it has them and none of its calls is open. */
	RELEASE

}
