package io.wagtailmux.daemon.settings;

import java.time.Duration;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.store.PlatformAddresses;

/**
 * Settings of one instance.
 *
 * @param id the id of the instance
 * @param zone the availability zone of the instance
 * @param callers the listen address for callers
 * @param peers the listen address for other instances
 * @param operators the listen address for operators
 * @param operatorTokenDigest the SHA-256 digest of the operator token in lower-case
 * hexadecimal digits
 * @param platform the addresses of the services of the platform
 * @param policy the order in which requests wait and the choice of endpoints
 * @param limits the limits on requests of callers
 * @param shutdownDelay the time during which a graceful shutdown still accepts requests
 * although the instance reports that it is not ready, so that load balancers can notice
 * @param drainTimeout the maximum time that a graceful shutdown waits for requests in
 * flight
 * @param logFormat the format of log lines
 * @author the wagtailmux developers
 */
public record InstanceSettings(InstanceId id, AvailabilityZoneId zone, ListenAddress callers, ListenAddress peers,
		ListenAddress operators, String operatorTokenDigest, PlatformAddresses platform, DispatchPolicy policy,
		CallerLimits limits, Duration shutdownDelay, Duration drainTimeout, LogFormat logFormat) {

}
