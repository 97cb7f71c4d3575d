package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.List;

import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.engine.state.StatedSpeeds.StatedSpeed;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.EndpointSpeedMessage;

/**
 * Converts what endpoints state about how long work takes there to messages and back.
 *
 * @author the wagtailmux developers
 */
public final class SpeedMessages {

	private SpeedMessages() {
	}

	/**
	 * Encodes what this instance has seen.
	 * @param state the state of the traffic thread
	 * @param now the elapsed time
	 * @return the newest statements
	 */
	public static List<EndpointSpeedMessage> messages(ServingState state, Duration now) {
		return state.statedSpeeds().newest(now).stream().map(SpeedMessages::message).toList();
	}

	private static EndpointSpeedMessage message(StatedSpeed statement) {
		return new EndpointSpeedMessage(statement.endpoint().pool().value(), statement.endpoint().id().value(),
				statement.endpoint().startedAtMillis(), statement.workTime());
	}

	/**
	 * Adopts what another instance has seen. Statements of processes that are not
	 * registered here are ignored.
	 * @param messages the statements
	 * @param state the state of the traffic thread
	 * @param now the elapsed time
	 * @throws io.wagtailmux.model.ModelException if a message has an invalid id
	 */
	public static void merge(List<EndpointSpeedMessage> messages, ServingState state, Duration now) {
		for (EndpointSpeedMessage message : messages) {
			EndpointId id = new EndpointId(message.getEndpoint());
			state.pool(new PoolId(message.getPool()))
				.flatMap((pool) -> pool.endpoint(id))
				.filter((endpoint) -> endpoint.entry().startedAtMillis() == message.getStartedAtMillis())
				.ifPresent((endpoint) -> endpoint.load().speed().onHeard(message.getWorkTime(), now));
		}
	}

}
