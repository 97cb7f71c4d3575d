package io.wagtailmux.store;

import java.net.InetSocketAddress;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;

/**
 * An instance as the platform lists it.
 *
 * @param id the instance's id
 * @param zone the availability zone that it stands in
 * @param peerAddress where it takes part in the peer exchange
 * @param stopping whether the platform is taking it away
 * @author the wagtailmux developers
 */
public record ListedInstance(InstanceId id, AvailabilityZoneId zone, InetSocketAddress peerAddress, boolean stopping) {

}
