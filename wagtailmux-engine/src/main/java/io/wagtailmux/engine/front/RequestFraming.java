package io.wagtailmux.engine.front;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Detects requests with ambiguous framing, for which two HTTP implementations could
 * disagree on where the body ends. Forwarding them would allow request smuggling.
 *
 * @author the wagtailmux developers
 */
final class RequestFraming {

	private RequestFraming() {
	}

	/**
	 * Returns whether the framing of a request is ambiguous or its host is not unique.
	 * @param request the head of the request
	 * @return whether the request must be rejected without reading its body
	 */
	static boolean isAmbiguous(HttpRequest request) {
		HttpHeaders headers = request.headers();
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		boolean both = !encodings.isEmpty() && !lengths.isEmpty();
		boolean invalidEncoding = encodings.size() > 1
				|| (encodings.size() == 1 && !encodings.get(0).trim().equalsIgnoreCase("chunked"));
		boolean invalidLength = lengths.size() > 1
				|| (lengths.size() == 1 && !lengths.get(0).trim().matches("\\d{1,18}"));
		boolean invalidHost = headers.getAll(HttpHeaderNames.HOST).size() != 1;
		return both || invalidEncoding || invalidLength || invalidHost;
	}

}
