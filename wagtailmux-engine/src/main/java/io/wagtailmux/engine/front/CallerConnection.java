package io.wagtailmux.engine.front;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.forward.CallerSink;
import io.wagtailmux.engine.forward.Exchange;
import io.wagtailmux.engine.forward.RejectionCode;
import io.wagtailmux.model.serving.CallerLimits;

/**
 * One connection of a caller: one request at a time, read whole before anything is done
 * for it.
 *
 * @author the wagtailmux developers
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** Parts of further requests that may come before an answer has ended. */
	private static final int MAXIMUM_WAITING_PARTS = 64;

	private final EngineContext context;

	private final CallerConnections connections;

	private final Deque<HttpObject> waiting = new ArrayDeque<>();

	private Channel channel;

	private HttpRequest head;

	private CompositeByteBuf body;

	private Duration headAt;

	private Exchange exchange;

	private boolean answering;

	private boolean closing;

	private boolean headBegun;

	private Future<?> readTimer;

	private Future<?> idleTimer;

	CallerConnection(EngineContext context, CallerConnections connections) {
		this.context = context;
		this.connections = connections;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext handlerContext) {
		handlerContext.pipeline().addFirst(new ArrivingBytes());
	}

	@Override
	public void channelActive(ChannelHandlerContext handlerContext) {
		this.channel = handlerContext.channel();
		this.connections.opened(this);
		waitForRequest();
	}

	@Override
	public void channelRead(ChannelHandlerContext handlerContext, Object message) {
		HttpObject part = (HttpObject) message;
		if (this.closing) {
			ReferenceCountUtil.release(part);
			return;
		}
		if (this.answering) {
			this.waiting.add(part);
			if (this.waiting.size() > MAXIMUM_WAITING_PARTS) {
				close();
			}
			return;
		}
		take(part);
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		this.connections.closed(this);
		this.closing = true;
		cancelTimers();
		if (this.exchange != null) {
			Exchange left = this.exchange;
			this.exchange = null;
			left.onCallerDisconnected();
		}
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		dropBody();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
		if (this.exchange != null) {
			this.exchange.onWritabilityChanged(this.channel.isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
		this.context.log().unreadable(0, "connection of a caller: " + cause);
		this.channel.close();
	}

	boolean busy() {
		return this.answering || this.head != null;
	}

	void closeIfIdle() {
		if (!busy() && this.waiting.isEmpty()) {
			close();
		}
	}

	private void take(HttpObject part) {
		try {
			if (part.decoderResult().isFailure()) {
				unreadable(part.decoderResult().cause());
				return;
			}
			if (part instanceof HttpRequest request) {
				takeHead(request);
			}
			if (part instanceof HttpContent content && this.head != null) {
				takeBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(part);
		}
	}

	private void takeHead(HttpRequest request) {
		cancelTimers();
		this.headBegun = false;
		this.head = request;
		this.headAt = this.context.time().elapsed();
		this.body = this.channel.alloc().compositeBuffer(64);
		CallerLimits limits = this.connections.limits();
		if (RequestFraming.ambiguous(request)) {
			rejectUnread(RejectionCode.MALFORMED_REQUEST, "ambiguous framing");
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
			rejectUnread(RejectionCode.BODY_TOO_LARGE, "body above " + limits.bodyBytes() + " bytes");
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		this.readTimer = schedule(limits.headerTimeout().plus(limits.idleTimeout()),
				() -> rejectUnread(RejectionCode.REQUEST_TOO_SLOW, "the body was not there in time"));
	}

	private void takeBody(HttpContent content) {
		if (content.content().isReadable()) {
			this.body.addComponent(true, content.content().retain());
		}
		int limit = this.connections.limits().bodyBytes();
		if (this.body.readableBytes() > limit) {
			rejectUnread(RejectionCode.BODY_TOO_LARGE, "body above " + limit + " bytes");
			return;
		}
		if (content instanceof LastHttpContent) {
			begin();
		}
	}

	private void begin() {
		cancelTimers();
		HttpRequest request = this.head;
		CompositeByteBuf whole = this.body;
		this.head = null;
		this.body = null;
		this.answering = true;
		boolean keep = HttpUtil.isKeepAlive(request);
		Exchange begun = new Exchange(this.context, new Sink(keep, request), request, whole, this.headAt);
		this.exchange = begun;
		begun.start();
	}

	private void unreadable(Throwable cause) {
		boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		rejectUnread(tooLarge ? RejectionCode.HEADERS_TOO_LARGE : RejectionCode.MALFORMED_REQUEST,
				String.valueOf(cause.getMessage()));
	}

	/**
	 * Answers a message that was not read whole, and closes the connection: where the
	 * next request would begin is unknown.
	 * @param code what the caller is told
	 * @param why what was seen, for the log
	 */
	private void rejectUnread(RejectionCode code, String why) {
		cancelTimers();
		dropBody();
		this.context.log().unreadable(code.status(), why);
		this.closing = true;
		HttpResponse response = RejectionAnswer.of(code, Optional.empty());
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	private void answered(boolean keep, ChannelFuture written) {
		this.exchange = null;
		if (!keep || !this.channel.isActive()) {
			this.closing = true;
			written.addListener(ChannelFutureListener.CLOSE);
			return;
		}
		this.answering = false;
		waitForRequest();
		while (!this.answering && !this.closing && !this.waiting.isEmpty()) {
			take(this.waiting.poll());
		}
	}

	/**
	 * Bounds the time in which a head must be there, counted from its first byte.
	 */
	private void bytesArrived() {
		if (this.head == null && !this.answering && !this.closing && !this.headBegun) {
			this.headBegun = true;
			cancelTimers();
			this.readTimer = schedule(this.connections.limits().headerTimeout(),
					() -> rejectUnread(RejectionCode.REQUEST_TOO_SLOW, "the headers were not there in time"));
		}
	}

	private void waitForRequest() {
		cancelTimers();
		this.idleTimer = schedule(this.connections.limits().idleTimeout(), this::closeIfIdle);
	}

	private Future<?> schedule(Duration delay, Runnable action) {
		return this.channel.eventLoop().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	private void cancelTimers() {
		if (this.readTimer != null) {
			this.readTimer.cancel(false);
		}
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
		}
	}

	private void dropBody() {
		if (this.body != null) {
			this.body.release();
			this.body = null;
		}
		this.head = null;
	}

	private void close() {
		this.closing = true;
		this.channel.close();
	}

	/**
	 * Sees bytes before they are a request.
	 */
	private final class ArrivingBytes extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext handlerContext, Object message) {
			bytesArrived();
			handlerContext.fireChannelRead(message);
		}

	}

	/**
	 * Writes the answer to one request.
	 */
	private final class Sink implements CallerSink {

		private final boolean keepAlive;

		private final HttpRequest request;

		private boolean chunked;

		Sink(boolean keepAlive, HttpRequest request) {
			this.keepAlive = keepAlive;
			this.request = request;
		}

		@Override
		public void send(int status, HttpHeaders headers, ByteBuf answer) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.readableBytes());
			boolean keep = connectionHeader(headers);
			answered(keep, channel().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), answer, headers, EmptyHttpHeaders.INSTANCE)));
		}

		@Override
		public void sendHead(int status, HttpHeaders headers) {
			this.chunked = this.request.protocolVersion().isKeepAliveDefault();
			if (this.chunked) {
				headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
			connectionHeader(headers);
			channel().write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
		}

		@Override
		public void sendContent(ByteBuf content) {
			channel().writeAndFlush(new DefaultHttpContent(content));
		}

		@Override
		public void end() {
			answered(keep(), channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
		}

		@Override
		public void abort() {
			CallerConnection.this.exchange = null;
			close();
		}

		@Override
		public void reject(RejectionCode code, Optional<Duration> retryAfter) {
			HttpResponse response = RejectionAnswer.of(code, retryAfter);
			boolean keep = connectionHeader(response.headers());
			answered(keep, channel().writeAndFlush(response));
		}

		@Override
		public boolean writable() {
			return channel().isWritable();
		}

		private boolean connectionHeader(HttpHeaders headers) {
			boolean keep = keep();
			if (!keep) {
				headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			return keep;
		}

		private boolean keep() {
			return this.keepAlive && !CallerConnection.this.connections.draining()
					&& (this.chunked || this.request.protocolVersion().isKeepAliveDefault());
		}

		private Channel channel() {
			return CallerConnection.this.channel;
		}

	}

}
