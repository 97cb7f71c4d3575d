package io.wagtailmux.engine.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Server on loopback that treats each connection as a test says, byte for byte.
 *
 * @author the wagtailmux developers
 */
final class ScriptedServer implements AutoCloseable {

	private final ServerSocket server;

	private final Script script;

	private final AtomicInteger connections = new AtomicInteger();

	private final List<Socket> accepted = new CopyOnWriteArrayList<>();

	/**
	 * Starts the server.
	 * @param script called on its own thread for each connection, which stays open
	 * afterwards unless the script closes it
	 * @throws IOException if no port can be opened
	 */
	ScriptedServer(Script script) throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.script = script;
		daemon(this::accept);
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	int connections() {
		return this.connections.get();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.accepted) {
			socket.close();
		}
	}

	/**
	 * Reads the head of a request.
	 * @param socket the connection
	 * @return the head with the empty line at its end; what was read if the connection
	 * ended before
	 * @throws IOException if the connection breaks
	 */
	static String readHead(Socket socket) throws IOException {
		InputStream input = socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int read = input.read();
			if (read < 0) {
				break;
			}
			head.append((char) read);
		}
		return head.toString();
	}

	static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().flush();
	}

	/**
	 * Resets a connection.
	 * @param socket the connection
	 * @throws IOException if it cannot be closed
	 */
	static void reset(Socket socket) throws IOException {
		socket.setSoLinger(true, 0);
		socket.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.accepted.add(socket);
				this.connections.incrementAndGet();
				daemon(() -> run(socket));
			}
		}
		catch (IOException ex) {
			// The test has closed the server.
		}
	}

	private void run(Socket socket) {
		try {
			this.script.run(socket);
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void daemon(Runnable action) {
		Thread thread = new Thread(action);
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * What happens on a connection.
	 */
	@FunctionalInterface
	interface Script {

		void run(Socket socket) throws Exception;

	}

}
