package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Sends requests, each on a new connection.
 */
final class Requester {

	/** The answer to a request; status 0 for a connection that ended without one. */
	record Answer(int status, String signature, String body, double seconds) {

		boolean served() {
			return this.status == 200 && !this.signature.isEmpty();
		}

	}

	private Requester() {
	}

	static Answer post(int port, String host, String path, String attempt, int deadlineMillis,
			Map<String, String> further, String body) {
		long start = System.nanoTime();
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(deadlineMillis + 1500);
			StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
			head.append("Wagtailmux-Attempt-Id: ").append(attempt).append("\r\n");
			head.append("Wagtailmux-Deadline-Remaining: ").append(deadlineMillis).append("\r\n");
			further.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
			socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
			HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
			if (answer == null) {
				return new Answer(0, "", "closed", since(start));
			}
			return new Answer(answer.status(), answer.header("Wagtailmux-Response-Signature"), answer.text(),
					since(start));
		}
		catch (IOException ex) {
			return new Answer(0, "", String.valueOf(ex.getMessage()), since(start));
		}
	}

	private static double since(long start) {
		return (System.nanoTime() - start) / 1e9;
	}

}
