package io.wagtailmux.engine.front;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.channel.ChannelHandler;

import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.model.serving.CallerLimits;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * All connections of callers to this instance.
 *
 * @author the wagtailmux developers
 */
public final class CallerConnections {

	/** The limits until a configuration is known; requests are refused then. */
	private static final CallerLimits STANDARD_LIMITS = new CallerLimits(16_384, 1 << 20, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	private final EngineContext context;

	private final Set<CallerConnection> open = new HashSet<>();

	private boolean draining;

	/**
	 * Creates the set without connections.
	 * @param context what the engine works with
	 */
	public CallerConnections(EngineContext context) {
		this.context = context;
	}

	/**
	 * Makes the handler of a new connection.
	 * @return the handler
	 */
	public ChannelHandler createHandler() {
		return new CallerConnection(this.context, this);
	}

	/**
	 * Returns what callers may send now.
	 * @return the limits of the configuration in force
	 */
	public CallerLimits limits() {
		return this.context.state().view().configuration().map(ServingConfiguration::limits).orElse(STANDARD_LIMITS);
	}

	/**
	 * Begins to close connections after their answers. New connections are still taken,
	 * since the balancer lets go of this instance only after a while.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Closes connections that carry no request.
	 */
	public void closeIdle() {
		List.copyOf(this.open).forEach(CallerConnection::closeIfIdle);
	}

	/**
	 * Returns the requests in progress.
	 * @return the number of connections with a request
	 */
	public long activeRequests() {
		return this.open.stream().filter(CallerConnection::busy).count();
	}

	boolean draining() {
		return this.draining;
	}

	void opened(CallerConnection connection) {
		this.open.add(connection);
	}

	void closed(CallerConnection connection) {
		this.open.remove(connection);
	}

}
