package io.wagtailmux.daemon.claim;

import io.wagtailmux.decision.claim.Claim;
import io.wagtailmux.store.RecordKey;

/**
 * Claim as it is stored in the table.
 *
 * @param key the key of the record
 * @param version the version of the record, on which the next write is conditional
 * @param claim the stored claim, made by this or another attempt
 * @author the wagtailmux developers
 */
record RecordedClaim(RecordKey key, long version, Claim claim) {

}
