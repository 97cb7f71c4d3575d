package io.wagtailmux.decision.lease;

import java.util.List;

/**
 * The lease writes that an instance should make after it has read all lease records. Each
 * write must succeed only if the record still has the version given here; version zero
 * means that there must be no record.
 *
 * @param renew leases that it holds and keeps
 * @param acquire leases that are released or expired and that it should acquire
 * @param release leases that it holds beyond its even share and should release
 * @author the wagtailmux developers
 */
public record LeasePlan(List<LeaseRecord> renew, List<LeaseRecord> acquire, List<LeaseRecord> release) {

}
