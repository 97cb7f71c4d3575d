package io.wagtailmux.model.serving;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.VersionId;

/**
 * Endpoint as described by the entry that it writes into the registry.
 *
 * @param id the endpoint's id
 * @param pool the pool that the endpoint belongs to
 * @param address the address that it listens on
 * @param zone the availability zone that it runs in
 * @param version the version of its software
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it is draining, so that it gets no new requests
 * @param remainingColdTime how much longer the endpoint is cold, from the time at which
 * the entry was written; zero if it is warm
 * @param startedAtMillis when its process started, in milliseconds since the epoch; zero
 * if unknown. A different value means that the endpoint has restarted
 * @author the wagtailmux developers
 */
public record RegisteredEndpoint(EndpointId id, PoolId pool, InetSocketAddress address, AvailabilityZoneId zone,
		VersionId version, int slots, boolean draining, Duration remainingColdTime, long startedAtMillis) {

}
