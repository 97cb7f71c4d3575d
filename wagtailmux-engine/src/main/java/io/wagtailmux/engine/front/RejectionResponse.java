package io.wagtailmux.engine.front;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import io.wagtailmux.engine.forward.RejectionCode;

/**
 * Creates the error responses of this instance itself.
 *
 * @author the wagtailmux developers
 */
final class RejectionResponse {

	private RejectionResponse() {
	}

	/**
	 * Creates a response with a JSON body that holds the code in lower case.
	 * @param code the reason, which also determines the HTTP status
	 * @param retryAfter the value of the {@code Retry-After} header, sent in seconds with
	 * three decimals; empty for no header
	 * @param headers further headers
	 * @return the response
	 */
	static HttpResponse of(RejectionCode code, Optional<Duration> retryAfter, HttpHeaders headers) {
		String text = "{\"code\":\"" + code.name().toLowerCase(Locale.ROOT) + "\"}";
		ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(code.status()), body);
		response.headers()
			.set(headers)
			.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
			.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		retryAfter.ifPresent((time) -> response.headers()
			.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", time.toNanos() / 1e9)));
		return response;
	}

}
