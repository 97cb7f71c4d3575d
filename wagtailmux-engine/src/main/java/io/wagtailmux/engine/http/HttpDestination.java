package io.wagtailmux.engine.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * One process that requests are sent to, with the connections that are kept to it.
 *
 * @author the wagtailmux developers
 */
public final class HttpDestination {

	private final InetSocketAddress address;

	private final Deque<ClientConnection> idle = new ArrayDeque<>();

	private boolean closed;

	/**
	 * Creates a destination without connections.
	 * @param address where it listens
	 */
	public HttpDestination(InetSocketAddress address) {
		this.address = address;
	}

	/**
	 * Returns where it listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Closes idle connections and keeps no further ones; calls in flight go on.
	 */
	public void close() {
		this.closed = true;
		this.idle.forEach(ClientConnection::close);
		this.idle.clear();
	}

	/**
	 * Takes the connection that was used last, and closes those that have been idle for
	 * too long.
	 * @param maxIdleTime the longest idle time
	 * @param now the elapsed time
	 * @return the connection, if one is left
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

	void keep(ClientConnection connection) {
		if (this.closed) {
			connection.close();
			return;
		}
		this.idle.addLast(connection);
	}

	void forget(ClientConnection connection) {
		this.idle.remove(connection);
	}

}
