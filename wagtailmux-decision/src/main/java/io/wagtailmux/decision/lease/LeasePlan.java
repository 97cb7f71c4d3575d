package io.wagtailmux.decision.lease;

import java.util.List;

/**
 * The lease writes that an instance should make after it has read all lease records.
 *
 * @param renew leases that it holds and keeps, each with the version that the write has
 * to find
 * @param acquire leases that are released or expired and that it should acquire
 * @param release leases that it holds beyond its even share and should release
 * @author the wagtailmux developers
 */
public record LeasePlan(List<LeaseRecord> renew, List<LeaseRecord> acquire, List<LeaseRecord> release) {

}
