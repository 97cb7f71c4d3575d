package io.wagtailmux.daemon.endpoint;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Network interceptor that detects responses that are not the one to the call on their
 * connection, and closes the connection then.
 *
 * <p>
 * An endpoint may send a response too many. A complete one names another call. A part of
 * one stays in the buffer of the connection, and the next response continues it: the head
 * then contains a second status line. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class ResponseVerifier {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}", Pattern.CASE_INSENSITIVE);

	/**
	 * Sends the request and verifies its response.
	 * @param chain the chain of network interceptors
	 * @return the response, which may name another call; its connection is closed then
	 * @throws IOException if the exchange fails or the head was put together from two
	 */
	Response onConnection(Interceptor.Chain chain) throws IOException {
		Request request = chain.request();
		Response response = chain.proceed(request);
		if (containsStatusLine(response)) {
			chain.connection().socket().close();
			response.close();
			throw new ProtocolException("the head of the response contains a second status line");
		}
		String call = request.header(WireHeaders.CALL_ID);
		if (call != null && !call.equals(response.header(WireHeaders.CALL_ID))) {
			chain.connection().socket().close();
		}
		return response;
	}

	private static boolean containsStatusLine(Response response) {
		Headers headers = response.headers();
		return containsStatusLine(response.message()) || IntStream.range(0, headers.size())
			.anyMatch((index) -> containsStatusLine(headers.name(index)) || containsStatusLine(headers.value(index)));
	}

	private static boolean containsStatusLine(String text) {
		return STATUS_LINE.matcher(text).find();
	}

}
