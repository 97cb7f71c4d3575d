package io.wagtailmux.testbed.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

/**
 * The HTTP server of a stand-in, which listens on the loopback address and has a thread
 * for each request in progress.
 *
 * @author the wagtailmux developers
 */
final class StandInServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	// The HTTP server of the JDK reads these once. It then sends small responses without
	// delay (no Nagle algorithm) and keeps up to 20,000 idle connections open for 600 s,
	// instead of 200 for 30 s by default.
	static {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "20000");
		System.setProperty("sun.net.httpserver.idleInterval", "600");
	}

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "stand-in");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpServer server;

	/**
	 * Starts a server.
	 * @param port the port to listen on, or zero for a free port
	 * @param handler the handler of all requests
	 * @throws StandInException if it cannot listen on the port
	 */
	StandInServer(int port, HttpHandler handler) {
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
		}
		catch (IOException ex) {
			throw new StandInException("the stand-in cannot listen on port " + port, ex);
		}
		this.server.createContext("/", handler);
		this.server.setExecutor(this.threads);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	URI address() {
		return URI.create("http://127.0.0.1:" + port());
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

}
