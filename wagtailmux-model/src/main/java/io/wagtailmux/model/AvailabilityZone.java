package io.wagtailmux.model;

/**
 * Availability zone, in which instances and endpoints run. An operator can take all of
 * its endpoints out of service at once.
 *
 * @param id the zone's id
 * @param region the name of the region that the zone belongs to
 * @param labels labels set by the operator
 * @param out whether the zone is out of service, so that its endpoints get no new calls
 * @author the wagtailmux developers
 */
public record AvailabilityZone(AvailabilityZoneId id, String region, Labels labels, boolean out) {

}
