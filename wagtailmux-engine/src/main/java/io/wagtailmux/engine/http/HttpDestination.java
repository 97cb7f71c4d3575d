package io.wagtailmux.engine.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * One process that requests are sent to, with its pool of idle connections. Not
 * thread-safe: to be used on the event loop of the client.
 *
 * @author the wagtailmux developers
 */
public final class HttpDestination {

	private final InetSocketAddress address;

	private final Optional<EndpointTarget> target;

	private final Deque<ClientConnection> idle = new ArrayDeque<>();

	private boolean closed;

	/**
	 * Creates a destination without connections that is no endpoint.
	 * @param address the address that the process listens on
	 */
	public HttpDestination(InetSocketAddress address) {
		this.address = address;
		this.target = Optional.empty();
	}

	/**
	 * Creates a destination without connections that is an endpoint. Another instance can
	 * reach it for this one.
	 * @param address the address that the endpoint listens on
	 * @param target the endpoint
	 */
	public HttpDestination(InetSocketAddress address, EndpointTarget target) {
		this.address = address;
		this.target = Optional.of(target);
	}

	/**
	 * Returns the endpoint that this destination stands for.
	 * @return the endpoint; empty for another kind of process
	 */
	Optional<EndpointTarget> target() {
		return this.target;
	}

	/**
	 * Returns the address that the process listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Closes the idle connections. Calls in flight continue, and their connections are
	 * closed at their end.
	 */
	public void close() {
		this.closed = true;
		this.idle.forEach(ClientConnection::close);
		this.idle.clear();
	}

	/**
	 * Removes the most recently used connection from the pool. Closes expired ones, from
	 * the least recently used up to the first that has not expired.
	 * @param maxIdleTime the connection must have been idle for less than this time
	 * @param now the current reading of the clock
	 * @return the connection; empty if a new one must be opened
	 */
	Optional<ClientConnection> takeIdle(Duration maxIdleTime, Duration now) {
		while (!this.idle.isEmpty() && this.idle.peekFirst().expired(now)) {
			this.idle.pollFirst().close();
		}
		ClientConnection newest = this.idle.peekLast();
		if (newest == null || newest.idleFor(now).compareTo(maxIdleTime) >= 0) {
			return Optional.empty();
		}
		return Optional.of(this.idle.pollLast());
	}

	void addIdle(ClientConnection connection) {
		if (this.closed) {
			connection.close();
			return;
		}
		this.idle.addLast(connection);
	}

	void removeIdle(ClientConnection connection) {
		this.idle.remove(connection);
	}

}
