package io.wagtailmux.daemon.settings;

import java.time.Duration;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.store.PlatformAddresses;

/**
 * Settings of one instance.
 *
 * @param id the instance's id
 * @param zone the availability zone that it stands in
 * @param callers where callers are served
 * @param peers where other instances are heard
 * @param operators where operators are served
 * @param operatorTokenDigest the SHA-256 of the operators' token
 * @param platform where the platform's services are
 * @param policy how requests wait and endpoints are chosen
 * @param limits bounds on what callers may ask
 * @param shutdownDelay how long a graceful shutdown goes on taking requests after it says
 * that the instance is not ready, so that the balancer can notice
 * @param drainTimeout how long a graceful shutdown waits for requests in flight
 * @param logFormat the form of log lines
 * @author the wagtailmux developers
 */
public record InstanceSettings(InstanceId id, AvailabilityZoneId zone, ListenAddress callers, ListenAddress peers,
		ListenAddress operators, String operatorTokenDigest, PlatformAddresses platform, DispatchPolicy policy,
		CallerLimits limits, Duration shutdownDelay, Duration drainTimeout, LogFormat logFormat) {

}
