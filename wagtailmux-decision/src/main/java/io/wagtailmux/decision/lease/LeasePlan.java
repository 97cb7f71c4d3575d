package io.wagtailmux.decision.lease;

import java.util.List;

/**
 * What an instance should do about the leases.
 *
 * @param renew leases that it holds, with the versions that it knows
 * @param acquire leases that nobody holds
 * @param release leases that it holds and should give back
 * @author the wagtailmux developers
 */
public record LeasePlan(List<LeaseRecord> renew, List<LeaseRecord> acquire, List<LeaseRecord> release) {

}
