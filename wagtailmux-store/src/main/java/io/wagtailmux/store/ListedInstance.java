package io.wagtailmux.store;

import java.net.InetSocketAddress;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;

/**
 * An entry of the {@link InstanceDirectory}.
 *
 * @param id the instance's id
 * @param zone the availability zone that it runs in
 * @param peerAddress the address on which it listens for peers
 * @param stopping whether the platform is stopping it
 * @author the wagtailmux developers
 */
public record ListedInstance(InstanceId id, AvailabilityZoneId zone, InetSocketAddress peerAddress, boolean stopping) {

}
