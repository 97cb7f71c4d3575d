package io.wagtailmux.daemon;

import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;

import io.wagtailmux.daemon.settings.ListenAddress;

/**
 * HTTP server that is stopped by {@link #stop()} only and installs no shutdown hook of
 * its own.
 *
 * @author the wagtailmux developers
 */
final class HttpListener extends NettyServer {

	// Only the routes for operators run on worker threads.
	private static final int WORKER_THREADS = 8;

	/**
	 * Starts a server and waits until it accepts connections.
	 * @param address the address to bind
	 * @param bodyBytes the maximum size of a request body in bytes
	 * @param application the routes to serve
	 * @return the running server; the caller stops it
	 * @throws DaemonException with {@link DaemonErrorCode#CANNOT_LISTEN} if the port
	 * cannot be bound
	 */
	static HttpListener start(ListenAddress address, int bodyBytes, Jooby application) {
		RequestGuardExtension.enable();
		HttpListener listener = new HttpListener();
		ServerOptions options = new ServerOptions();
		options.setHost(address.host());
		options.setPort(address.port());
		options.setMaxRequestSize(bodyBytes);
		options.setWorkerThreads(WORKER_THREADS);
		options.setDefaultHeaders(false);
		listener.setOptions(options);
		try {
			listener.start(application);
		}
		// start throws checked exceptions that its signature does not declare.
		catch (Exception ex) {
			listener.stop();
			throw new DaemonException(DaemonErrorCode.CANNOT_LISTEN, "cannot listen on " + address, ex);
		}
		return listener;
	}

	/**
	 * Returns the port of the listening socket.
	 * @return the TCP port
	 */
	int port() {
		return getOptions().getPort();
	}

	@Override
	protected void addShutdownHook() {
		// Jooby's hook would stop the server on a signal, before the requests in flight
		// have ended. Instance.shutdown() waits for them first.
	}

}
