package io.wagtailmux.engine.front;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.channel.ChannelHandler;

import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.state.StopPlan;
import io.wagtailmux.model.serving.CallerLimits;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * Open connections of callers to this instance. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
public final class CallerConnections {

	/** Limits until a configuration is received; requests are rejected until then. */
	private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16_384, 1 << 20, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	private final EngineContext context;

	private final Set<CallerConnection> open = new HashSet<>();

	private boolean draining;

	/**
	 * Creates an empty set of connections.
	 * @param context the shared objects of the engine
	 */
	public CallerConnections(EngineContext context) {
		this.context = context;
	}

	/**
	 * Creates the handler of a new connection.
	 * @return the handler, to be added behind the HTTP codec
	 */
	public ChannelHandler createHandler() {
		return new CallerConnection(this.context, this);
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits of the configuration in force; the default limits if there is no
	 * configuration
	 */
	public CallerLimits limits() {
		return this.context.state().view().configuration().map(ServingConfiguration::limits).orElse(DEFAULT_LIMITS);
	}

	/**
	 * Returns whether the limits are those of a configuration.
	 * @return false until a configuration is received
	 */
	boolean configured() {
		return this.context.state().view().configuration().isPresent();
	}

	/**
	 * Starts to close each connection after its current response. New connections are
	 * still accepted, since the load balancer stops sending them only after a delay.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Ends the requests that this instance cannot answer before it stops, and at its end
	 * all of them.
	 * @param plan when this instance stops
	 */
	public void endUnanswerable(StopPlan plan) {
		List.copyOf(this.open).forEach((connection) -> connection.onStopping(plan));
	}

	/**
	 * Returns whether a connection is open.
	 * @return false once the last answer was written and its connection closed
	 */
	public boolean anyOpen() {
		return !this.open.isEmpty();
	}

	/**
	 * Closes the connections without a request in progress.
	 */
	public void closeIdle() {
		List.copyOf(this.open).forEach(CallerConnection::closeIfIdle);
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of connections on which a request is being received or answered
	 */
	public long activeRequests() {
		return this.open.stream().filter(CallerConnection::hasRequest).count();
	}

	boolean draining() {
		return this.draining;
	}

	void onOpened(CallerConnection connection) {
		this.open.add(connection);
	}

	void onClosed(CallerConnection connection) {
		this.open.remove(connection);
	}

}
