package io.wagtailmux.engine.http;

import java.time.Duration;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A request to be sent, with the bounds of its waits.
 *
 * <p>
 * The body stays the caller's: sending retains what it needs.
 *
 * @author the wagtailmux developers
 */
public final class OutgoingRequest {

	private final HttpMethod method;

	private final String uri;

	private final HttpHeaders headers;

	private final ByteBuf body;

	private final Duration timeout;

	private final Duration maxIdleTime;

	private final Predicate<HttpResponse> responseFilter;

	private OutgoingRequest(Builder builder) {
		this.method = builder.method;
		this.uri = builder.uri;
		this.headers = builder.headers;
		this.body = builder.body;
		this.timeout = builder.timeout;
		this.maxIdleTime = builder.maxIdleTime;
		this.responseFilter = builder.responseFilter;
	}

	/**
	 * Starts a request.
	 * @param method the method
	 * @param uri path and query, sent as they are
	 * @return the builder
	 */
	public static Builder of(HttpMethod method, String uri) {
		return new Builder(method, uri);
	}

	HttpMethod method() {
		return this.method;
	}

	String uri() {
		return this.uri;
	}

	HttpHeaders headers() {
		return this.headers;
	}

	ByteBuf body() {
		return this.body;
	}

	Duration timeout() {
		return this.timeout;
	}

	Duration maxIdleTime() {
		return this.maxIdleTime;
	}

	Predicate<HttpResponse> responseFilter() {
		return this.responseFilter;
	}

	/**
	 * Collects what a request consists of.
	 */
	public static final class Builder {

		private static final Duration STANDARD_TIMEOUT = Duration.ofSeconds(2);

		private static final Duration STANDARD_FRESHNESS = Duration.ofSeconds(30);

		private final HttpMethod method;

		private final String uri;

		private HttpHeaders headers = new DefaultHttpHeaders();

		private ByteBuf body = Unpooled.EMPTY_BUFFER;

		private Duration timeout = STANDARD_TIMEOUT;

		private Duration maxIdleTime = STANDARD_FRESHNESS;

		private Predicate<HttpResponse> responseFilter = (response) -> true;

		private Builder(HttpMethod method, String uri) {
			this.method = method;
			this.uri = uri;
		}

		/**
		 * Sets all headers but those of the connection and of the body's length.
		 * @param headers the headers; copied when the request is sent
		 * @return this builder
		 */
		public Builder headers(HttpHeaders headers) {
			this.headers = headers;
			return this;
		}

		/**
		 * Sets the body.
		 * @param body the bytes
		 * @return this builder
		 */
		public Builder body(ByteBuf body) {
			this.body = body;
			return this;
		}

		/**
		 * Sets the longest wait until the response begins.
		 * @param timeout counted from when the request is handed over; two seconds unless
		 * set
		 * @return this builder
		 */
		public Builder timeout(Duration timeout) {
			this.timeout = timeout;
			return this;
		}

		/**
		 * Sets the longest time that a kept connection may have been idle. The far side
		 * may close an idle connection while a request is on its way, which leaves it
		 * unknown whether the request was read.
		 * @param maxIdleTime the longest idle time; zero for a new connection
		 * @return this builder
		 */
		public Builder maxIdleTime(Duration maxIdleTime) {
			this.maxIdleTime = maxIdleTime;
			return this;
		}

		/**
		 * Sets how a response to this request is told from one that belongs to an earlier
		 * request of the connection.
		 * @param responseFilter whether a response answers this request; others are
		 * dropped
		 * @return this builder
		 */
		public Builder responseFilter(Predicate<HttpResponse> responseFilter) {
			this.responseFilter = responseFilter;
			return this;
		}

		/**
		 * Builds the request.
		 * @return the request
		 */
		public OutgoingRequest build() {
			return new OutgoingRequest(this);
		}

	}

}
