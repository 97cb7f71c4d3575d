package io.wagtailmux.daemon.claim;

import io.wagtailmux.decision.claim.Claim;
import io.wagtailmux.store.RecordKey;

/**
 * A claim and where it is recorded.
 *
 * @param key where it is recorded
 * @param version the version of the record
 * @param claim the claim
 * @author the wagtailmux developers
 */
record RecordedClaim(RecordKey key, long version, Claim claim) {

}
