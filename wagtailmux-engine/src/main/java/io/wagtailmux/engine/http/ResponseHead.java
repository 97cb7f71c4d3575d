package io.wagtailmux.engine.http;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Detects heads that are those of no response, and heads that consist of parts of two.
 * After a response that broke off within its head, the next one on the connection has the
 * status line of the first, while its own stands where the first broke off.
 *
 * @author the wagtailmux developers
 */
final class ResponseHead {

	private static final int LEAST_STATUS = 100;

	private static final int GREATEST_STATUS = 599;

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}", Pattern.CASE_INSENSITIVE);

	private ResponseHead() {
	}

	/**
	 * Returns whether the status of a head is one that HTTP knows (RFC 9110, section 15).
	 * @param response the head
	 * @return whether the head is that of a response
	 */
	static boolean hasStatusOfProtocol(HttpResponse response) {
		return response.status().code() >= LEAST_STATUS && response.status().code() <= GREATEST_STATUS;
	}

	/**
	 * Returns whether a head contains the status line of another one.
	 * @param response the head
	 * @return whether it belongs to no single response
	 */
	static boolean isJoined(HttpResponse response) {
		if (!response.protocolVersion().protocolName().equals("HTTP")
				|| containsStatusLine(response.status().reasonPhrase())) {
			return true;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (containsStatusLine(header.getKey()) || containsStatusLine(header.getValue())) {
				return true;
			}
		}
		return false;
	}

	private static boolean containsStatusLine(String text) {
		return STATUS_LINE.matcher(text).find();
	}

}
