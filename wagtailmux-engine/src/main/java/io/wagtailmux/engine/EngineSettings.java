package io.wagtailmux.engine;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.engine.duty.DutySettings;
import io.wagtailmux.engine.state.SharedLimits;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;

/**
 * Settings of one instance, fixed for the lifetime of the process.
 *
 * @param instance the id of the instance
 * @param zone the availability zone that the instance runs in
 * @param callers the listen address for callers
 * @param readiness the listen address for the health checks of the load balancer
 * @param readinessPath the path of the health checks
 * @param peers the listen address for other instances. It is also the address that they
 * connect to, so it must not be a wildcard address
 * @param metrics the listen address for metrics
 * @param limits the limits that all instances share
 * @param capacity the resources of the machine
 * @param grace the time from the stop signal to the forced kill of the process
 * @param recoveryBound the time after the end of a fault of its connections within which
 * the instance must follow the store again
 * @param duties the duties that one instance performs for all; empty if there are none
 * @author the wagtailmux developers
 */
public record EngineSettings(InstanceId instance, AvailabilityZoneId zone, InetSocketAddress callers,
		InetSocketAddress readiness, String readinessPath, InetSocketAddress peers, InetSocketAddress metrics,
		SharedLimits limits, InstanceCapacity capacity, Duration grace, Duration recoveryBound,
		Optional<DutySettings> duties) {

}
