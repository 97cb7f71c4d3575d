package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a worker: one request at a time on a channel, each answered by a script. */
final class Worker implements AutoCloseable {

	/**
	 * Answers one request that was read completely. The stream is the same for all
	 * requests of a channel; an IOException closes the channel.
	 */
	interface Script {

		void answer(Http.Head head, byte[] body, OutputStream out) throws Exception;

	}

	final String id;

	/** Ids of the attempts that ran here, with how often. */
	final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final ServerSocket socket = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());

	private final Script script;

	private final Map<Socket, Boolean> channels = new ConcurrentHashMap<>();

	Worker(String id, Script script) throws IOException {
		this.id = id;
		this.script = script;
		Tools.run("worker", this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	private void accept() throws IOException {
		while (!this.socket.isClosed()) {
			Socket channel = this.socket.accept();
			channel.setTcpNoDelay(true);
			this.channels.put(channel, true);
			Tools.run("channel", () -> serve(channel));
		}
	}

	private void serve(Socket channel) throws Exception {
		try (channel) {
			BufferedInputStream in = new BufferedInputStream(channel.getInputStream(), 65_536);
			OutputStream out = channel.getOutputStream();
			Http.Head head = Http.head(in);
			while (head != null) {
				byte[] body = Http.body(in, head);
				String expected = head.header("Wagtailmux-Expected-Instance");
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					write(out, 421, "", "Wagtailmux-Not-Executed: true\r\n", new byte[0]);
				}
				else {
					this.runs.merge(head.header("Wagtailmux-Attempt-Id"), 1, Integer::sum);
					this.script.answer(head, body, out);
				}
				head = Http.head(in);
			}
		}
		finally {
			this.channels.remove(channel);
		}
	}

	static void write(OutputStream out, int status, String attempt, String headers, byte[] body) throws IOException {
		out.write(bytes(status, attempt, headers + "Content-Length: " + body.length + "\r\n", body));
		out.flush();
	}

	/** Returns an answer; its further headers say where its body ends. */
	static byte[] bytes(int status, String attempt, String headers, byte[] body) {
		String text = "HTTP/1.1 " + status + " Status\r\nWagtailmux-Attempt-Id: " + attempt
				+ "\r\nWagtailmux-Response-Signature: s." + attempt + "\r\n" + headers + "\r\n";
		byte[] head = text.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = Arrays.copyOf(head, head.length + body.length);
		System.arraycopy(body, 0, all, head.length, body.length);
		return all;
	}

	/** Writes a stream of events with ids from 1 on. */
	static void stream(OutputStream out, String attempt, int events, long pauseMillis) throws Exception {
		out.write(("HTTP/1.1 200 OK\r\nWagtailmux-Attempt-Id: " + attempt + "\r\nWagtailmux-Response-Signature: s."
				+ attempt + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		for (int event = 1; event <= events; event++) {
			String text = "id: " + event + "\ndata: " + attempt + " " + event + "\n\n";
			out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			Thread.sleep(pauseMillis);
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/** Ends the worker, and all its channels with it. */
	@Override
	public void close() throws IOException {
		this.socket.close();
		for (Socket channel : this.channels.keySet()) {
			channel.close();
		}
	}

}
