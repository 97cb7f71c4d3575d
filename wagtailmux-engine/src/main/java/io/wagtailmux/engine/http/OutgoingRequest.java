package io.wagtailmux.engine.http;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A request to be sent, with its timeout and the conditions on the connection and
 * response.
 *
 * <p>
 * The caller keeps the ownership of the body: sending retains it as long as needed.
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

	private final boolean streamed;

	private final boolean ownConnection;

	private final boolean repeatable;

	private final BooleanSupplier condition;

	private final int maximumResponseBytes;

	private OutgoingRequest(Builder builder) {
		this.method = builder.method;
		this.uri = builder.uri;
		this.headers = builder.headers;
		this.body = builder.body;
		this.timeout = builder.timeout;
		this.maxIdleTime = builder.maxIdleTime;
		this.responseFilter = builder.responseFilter;
		this.streamed = builder.streamed;
		this.ownConnection = builder.ownConnection;
		this.repeatable = builder.repeatable;
		this.condition = builder.condition;
		this.maximumResponseBytes = builder.maximumResponseBytes;
	}

	/**
	 * Starts building a request.
	 * @param method the HTTP method
	 * @param uri path and query, sent unchanged
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

	/**
	 * Returns the size of the body.
	 * @return the number of bytes
	 */
	public int bodyBytes() {
		return this.body.readableBytes();
	}

	ByteBuf body() {
		return this.body;
	}

	Duration timeout() {
		return this.timeout;
	}

	Duration maxIdleTime() {
		return this.ownConnection ? Duration.ZERO : this.maxIdleTime;
	}

	Predicate<HttpResponse> responseFilter() {
		return this.responseFilter;
	}

	boolean streamed() {
		return this.streamed;
	}

	boolean ownConnection() {
		return this.ownConnection;
	}

	boolean repeatable() {
		return this.repeatable;
	}

	boolean stillWanted() {
		return this.condition.getAsBoolean();
	}

	int maximumResponseBytes() {
		return this.maximumResponseBytes;
	}

	/**
	 * Builds a request. Not thread-safe.
	 */
	public static final class Builder {

		private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

		/** The store sends pages of up to 1 MB, in which values are encoded. */
		private static final int DEFAULT_MAXIMUM_RESPONSE_BYTES = 4 << 20;

		private static final Duration DEFAULT_MAX_IDLE_TIME = Duration.ofSeconds(30);

		private final HttpMethod method;

		private final String uri;

		private HttpHeaders headers = new DefaultHttpHeaders();

		private ByteBuf body = Unpooled.EMPTY_BUFFER;

		private Duration timeout = DEFAULT_TIMEOUT;

		private Duration maxIdleTime = DEFAULT_MAX_IDLE_TIME;

		private Predicate<HttpResponse> responseFilter = (response) -> true;

		private boolean streamed;

		private boolean ownConnection;

		private boolean repeatable;

		private BooleanSupplier condition = () -> true;

		private int maximumResponseBytes = DEFAULT_MAXIMUM_RESPONSE_BYTES;

		private Builder(HttpMethod method, String uri) {
			this.method = method;
			this.uri = uri;
		}

		/**
		 * Sets the headers; there are none unless set. When the request is sent,
		 * {@code Content-Length} is added if there is a body or the method is POST or
		 * PUT, and {@code Host} if it is missing.
		 * @param headers the headers; copied when the request is sent
		 * @return this builder
		 */
		public Builder headers(HttpHeaders headers) {
			this.headers = headers;
			return this;
		}

		/**
		 * Sets the body; it is empty unless set.
		 * @param body the bytes; the caller keeps the ownership
		 * @return this builder
		 */
		public Builder body(ByteBuf body) {
			this.body = body;
			return this;
		}

		/**
		 * Sets the longest time to wait for the complete response, or for its head if the
		 * response is {@link #streamed()}.
		 * @param timeout counted from the call of {@link HttpClient#send}; two seconds
		 * unless set
		 * @return this builder
		 */
		public Builder timeout(Duration timeout) {
			this.timeout = timeout;
			return this;
		}

		/**
		 * Sets how long a reused connection may have been idle. The remote side may close
		 * an idle connection while a request is on its way; it is then unknown whether
		 * the request was read.
		 * @param maxIdleTime the upper bound, exclusive; zero to open a new connection;
		 * 30 seconds unless set
		 * @return this builder
		 */
		public Builder maxIdleTime(Duration maxIdleTime) {
			this.maxIdleTime = maxIdleTime;
			return this;
		}

		/**
		 * Sets a filter that distinguishes the response to this request from a late one
		 * to an earlier request of the same connection.
		 * @param responseFilter returns whether a response belongs to this request; other
		 * responses are dropped and the call continues to wait; all are accepted unless
		 * set
		 * @return this builder
		 */
		public Builder responseFilter(Predicate<HttpResponse> responseFilter) {
			this.responseFilter = responseFilter;
			return this;
		}

		/**
		 * Sets a condition that is checked again when a new connection is open. If it no
		 * longer holds, the request is not sent, and the call fails with
		 * {@link CallFailure#NOT_SENT}.
		 * @param condition returns whether the request may still be sent
		 * @return this builder
		 */
		public Builder onlyIf(BooleanSupplier condition) {
			this.condition = condition;
			return this;
		}

		/**
		 * Declares that the response is passed on while it arrives. Neither its size nor
		 * the time after its head is limited then; the listener has to limit both.
		 * @return this builder
		 */
		public Builder streamed() {
			this.streamed = true;
			return this;
		}

		/**
		 * Declares that nothing in a response says which request it answers, so that its
		 * connection has to: a new connection is opened for this request and closed after
		 * the first complete response. A response too many, whenever it arrives, cannot
		 * be taken for the one to another request.
		 * @return this builder
		 */
		public Builder ownConnection() {
			this.ownConnection = true;
			return this;
		}

		/**
		 * Declares that the request may run more than once, so that its sender does not
		 * have to wait for an answer that may never come.
		 * @param repeatable whether it may; false unless set
		 * @return this builder
		 */
		public Builder repeatable(boolean repeatable) {
			this.repeatable = repeatable;
			return this;
		}

		/**
		 * Sets the size of the largest response body. A response with more is abandoned,
		 * and the call fails as {@link CallFailure#MALFORMED}.
		 * @param maximumResponseBytes the number of bytes; 4 MiB unless set
		 * @return this builder
		 */
		public Builder maximumResponseBytes(int maximumResponseBytes) {
			this.maximumResponseBytes = maximumResponseBytes;
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
