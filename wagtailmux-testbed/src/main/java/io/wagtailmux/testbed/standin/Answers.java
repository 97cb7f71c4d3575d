package io.wagtailmux.testbed.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.sun.net.httpserver.HttpExchange;

/**
 * Writes HTTP responses of stand-ins.
 *
 * @author the wagtailmux developers
 */
final class Answers {

	private Answers() {
	}

	static void send(HttpExchange exchange, int status, String body) throws IOException {
		send(exchange, status, body.getBytes(StandardCharsets.UTF_8));
	}

	static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	/**
	 * Sends headers with the length of a whole body, but only its first half.
	 * @param exchange the exchange, which stays open
	 * @param body the whole body
	 */
	static void sendHalf(HttpExchange exchange, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(200, bytes.length);
		exchange.getResponseBody().write(bytes, 0, bytes.length / 2);
		exchange.getResponseBody().flush();
	}

}
