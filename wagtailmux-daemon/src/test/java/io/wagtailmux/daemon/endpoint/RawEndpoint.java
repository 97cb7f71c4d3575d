package io.wagtailmux.daemon.endpoint;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Endpoint that answers health probes and calls correctly, and sends given bytes after
 * its first response to a call.
 *
 * @author the wagtailmux developers
 */
final class RawEndpoint implements AutoCloseable {

	private static final String BOOT_ID = "0f8fad5b-d9cb-469f-a165-70867728950e";

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final ServerSocket server;

	private final String surplus;

	private boolean surplusSent;

	RawEndpoint(String surplus) {
		this.surplus = surplus;
		try {
			this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.threads.execute(this::acceptConnections);
	}

	URI address() {
		return URI.create("http://127.0.0.1:" + this.server.getLocalPort());
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.threads.shutdownNow();
	}

	private void acceptConnections() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				this.threads.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				// The server was closed.
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader input = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			List<String> head = readHead(input);
			while (!head.isEmpty()) {
				input.skip(Long.parseLong(header(head, "Content-Length", "0")));
				answer(socket.getOutputStream(), head);
				head = readHead(input);
			}
		}
		catch (IOException ex) {
			// The client closed the connection, as it may.
			this.sockets.remove(socket);
		}
	}

	private synchronized void answer(OutputStream output, List<String> head) throws IOException {
		if (head.get(0).startsWith("GET ")) {
			output.write(response("Wagtailmux-Boot-Id: " + BOOT_ID + "\r\n", "ready"));
			return;
		}
		String id = header(head, "Wagtailmux-Call-Id", "");
		output.write(response("Wagtailmux-Boot-Id: " + BOOT_ID + "\r\nWagtailmux-Call-Id: " + id + "\r\n",
				"{\"callId\":\"" + id + "\",\"made\":\"" + id + "\"}"));
		if (!this.surplusSent) {
			this.surplusSent = true;
			output.write(this.surplus.getBytes(StandardCharsets.US_ASCII));
		}
	}

	private static byte[] response(String headers, String body) {
		return ("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII);
	}

	private static List<String> readHead(BufferedReader input) throws IOException {
		List<String> lines = new ArrayList<>();
		for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
			lines.add(line);
		}
		return lines;
	}

	private static String header(List<String> head, String name, String absent) {
		return head.stream()
			.filter((line) -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
			.map((line) -> line.substring(name.length() + 1).trim())
			.findFirst()
			.orElse(absent);
	}

}
