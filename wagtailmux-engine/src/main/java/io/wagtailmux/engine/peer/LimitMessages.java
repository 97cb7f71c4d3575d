package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.engine.state.LimitSighting;
import io.wagtailmux.engine.state.PoolLimits;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.EndpointLimitMessage;
import io.wagtailmux.peer.wire.PingMessage;
import io.wagtailmux.peer.wire.PoolLimitsMessage;

/**
 * Converts what instances know of the limits that endpoints name to messages and back.
 * Times are sent as ages, since the clocks of instances differ.
 *
 * @author the wagtailmux developers
 */
public final class LimitMessages {

	private LimitMessages() {
	}

	/**
	 * Encodes what this instance reports.
	 * @param state the state of the traffic thread
	 * @param now the elapsed time
	 * @return a message for each pool with limited endpoints
	 */
	public static List<PoolLimitsMessage> messages(ServingState state, Duration now) {
		return state.pools()
			.stream()
			.flatMap((pool) -> pool.namedLimits().report(now).stream())
			.map((limits) -> message(limits, now))
			.toList();
	}

	/**
	 * Adopts what another instance reports.
	 * @param ping the heartbeat message of the instance, with limits
	 * @param state the state of the traffic thread
	 * @param now the elapsed time
	 * @throws io.wagtailmux.model.ModelException if a message has an invalid id
	 */
	public static void merge(PingMessage ping, ServingState state, Duration now) {
		InstanceId sender = new InstanceId(ping.getSender().getInstance());
		for (PoolLimitsMessage message : ping.getLimits()) {
			state.pool(new PoolId(message.getPool())).ifPresent((pool) -> merge(message, sender, pool, now));
		}
	}

	private static void merge(PoolLimitsMessage message, InstanceId sender, PoolTraffic pool, Duration now) {
		pool.namedLimits().recordReportedDemand(sender, message.getDemandPerSecond(), now);
		for (EndpointLimitMessage limit : message.getLimits()) {
			LimitSighting sighting = sighting(limit, now);
			pool.endpoint(sighting.endpoint())
				.filter((endpoint) -> endpoint.entry().startedAtMillis() == sighting.startedAtMillis())
				.ifPresent((endpoint) -> endpoint.recordReportedLimit(sighting));
		}
	}

	private static PoolLimitsMessage message(PoolLimits limits, Duration now) {
		return new PoolLimitsMessage(limits.pool().value(), limits.demandPerSecond(),
				limits.sightings().stream().map((sighting) -> message(sighting, now)).toList());
	}

	private static EndpointLimitMessage message(LimitSighting sighting, Duration now) {
		EndpointLimitMessage message = new EndpointLimitMessage(sighting.endpoint().value(), sighting.startedAtMillis(),
				sighting.requestsPerSecond(), MessageAge.of(sighting.namedAt(), now));
		sighting.notNamedAt().ifPresent((at) -> message.setNotNamedAgeMicroseconds(MessageAge.of(at, now)));
		return message;
	}

	private static LimitSighting sighting(EndpointLimitMessage message, Duration now) {
		Optional<Duration> notNamedAt = message.isSetNotNamedAgeMicroseconds()
				? Optional.of(MessageAge.time(message.getNotNamedAgeMicroseconds(), now)) : Optional.empty();
		return new LimitSighting(new EndpointId(message.getEndpoint()), message.getStartedAtMillis(),
				message.getRequestsPerSecond(), MessageAge.time(message.getNamedAgeMicroseconds(), now), notNamedAt);
	}

}
