package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker that answers HTTP requests, one at a time on each connection, and registers
 * itself in the store.
 */
abstract class Worker implements AutoCloseable {

	final String id;

	final String service;

	final String zone;

	final Record record;

	private final StoreStandIn store;

	private final ServerSocket server;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final long born = System.currentTimeMillis();

	volatile boolean crashed;

	Worker(String id, String service, String zone, StoreStandIn store, Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.store = store;
		this.record = record;
		this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		daemon(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	abstract int slots();

	void register() {
		this.store.put("servers", this.id,
				("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
						+ "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":%d}")
					.formatted(this.service, address(), this.zone, slots(), this.born));
	}

	void unregister() {
		this.store.remove("servers", this.id);
	}

	/** Ends the worker at once, with all that it holds. */
	void crash() {
		this.crashed = true;
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		this.connections.forEach(Worker::reset);
	}

	/**
	 * Answers a request.
	 * @return false to close the connection
	 */
	abstract boolean answer(HttpMessage request, OutputStream out) throws IOException, InterruptedException;

	@Override
	public void close() {
		crash();
	}

	static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	static void send(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static String response(int status, String headers, String body) {
		return "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: "
				+ body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// The connection has ended already.
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.connections.add(socket);
				daemon(() -> serve(socket));
			}
		}
		catch (SocketException ex) {
			// The worker has ended.
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			boolean open = true;
			while (open) {
				HttpMessage request = HttpMessage.read(in);
				if (request == null) {
					return;
				}
				String expected = request.header("Wagtailmux-Expected-Instance");
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					send(out, response(421, "Wagtailmux-Not-Executed: 1\r\nWagtailmux-Attempt-Id: "
							+ request.header("Wagtailmux-Attempt-Id") + "\r\n", ""));
					continue;
				}
				open = answer(request, out);
			}
		}
		catch (IOException ex) {
			// The connection was closed by the other side.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connections.remove(socket);
		}
	}

}
