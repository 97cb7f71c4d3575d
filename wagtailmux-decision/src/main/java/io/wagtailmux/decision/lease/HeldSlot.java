package io.wagtailmux.decision.lease;

import java.time.Duration;

/**
 * A lease that this instance holds on a slot.
 *
 * @param version the version of the lease record, which is the fencing token
 * @param validUntil when the lease expires unless it is renewed, as elapsed time
 * @param heldSince since when this instance has held it without interruption, as elapsed
 * time
 * @param firstHolder whether no instance held the slot before this one
 * @author the wagtailmux developers
 */
public record HeldSlot(long version, Duration validUntil, Duration heldSince, boolean firstHolder) {

}
