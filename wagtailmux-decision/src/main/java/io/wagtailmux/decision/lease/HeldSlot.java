package io.wagtailmux.decision.lease;

import java.time.Duration;

/**
 * A lease that this instance holds on a slot.
 *
 * @param version the version of the lease record, which is the fencing token
 * @param validUntil when the lease expires unless it is renewed, as elapsed time
 * @param heldSince since when this instance has been the holder in the table, as elapsed
 * time; an expired lease that is renewed before another instance acquires it counts as
 * held throughout
 * @param firstHolder whether no instance has held the slot before, so that the table had
 * no record of it
 * @author the wagtailmux developers
 */
public record HeldSlot(long version, Duration validUntil, Duration heldSince, boolean firstHolder) {

}
