package io.wagtailmux.model.serving;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.VersionId;

/**
 * An endpoint as its own entry in the registry describes it.
 *
 * @param id the endpoint's id
 * @param pool the pool that it serves
 * @param address where it listens
 * @param zone the availability zone that it stands in
 * @param version the version of its software
 * @param slots the requests that it runs at the same time
 * @param draining whether it is to get no new work
 * @param remainingColdTime how much longer it is cold, counted from when the entry was
 * written
 * @param startedAtMillis when this process of it was started, in milliseconds since the
 * epoch
 * @author the wagtailmux developers
 */
public record RegisteredEndpoint(EndpointId id, PoolId pool, InetSocketAddress address, AvailabilityZoneId zone,
		VersionId version, int slots, boolean draining, Duration remainingColdTime, long startedAtMillis) {

}
