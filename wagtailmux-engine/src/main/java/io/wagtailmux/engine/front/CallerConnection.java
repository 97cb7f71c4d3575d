package io.wagtailmux.engine.front;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
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
import io.wagtailmux.engine.state.StopPlan;
import io.wagtailmux.model.serving.CallerLimits;

/**
 * HTTP/1.1 connection of a caller. Processes one request at a time, and starts with it
 * only when its body is complete; parts of pipelined requests are queued. Used on the
 * traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Parts of pipelined requests queued during a response; more close the connection.
	 */
	private static final int MAXIMUM_QUEUED_PARTS = 64;

	/** Assumed delay until a refused request could be served. */
	private static final Duration ASSUMED_DELAY = Duration.ofMillis(150);

	private final EngineContext context;

	private final CallerConnections connections;

	private final Deque<HttpObject> queued = new ArrayDeque<>();

	private Channel channel;

	private HttpRequest head;

	private CompositeByteBuf body;

	private Duration headAt;

	private Exchange exchange;

	private boolean answering;

	private Optional<ChannelFuture> lastAnswer = Optional.empty();

	private long unwrittenBytes;

	private boolean closing;

	private boolean lingering;

	private boolean headStarted;

	private Future<?> readTimer;

	private Future<?> idleTimer;

	CallerConnection(EngineContext context, CallerConnections connections) {
		this.context = context;
		this.connections = connections;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext handlerContext) {
		handlerContext.pipeline().addFirst(new FirstByteHandler());
	}

	@Override
	public void channelActive(ChannelHandlerContext handlerContext) {
		this.channel = handlerContext.channel();
		this.connections.onOpened(this);
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
			this.queued.add(part);
			if (this.queued.size() > MAXIMUM_QUEUED_PARTS) {
				close();
			}
			return;
		}
		process(part);
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		this.connections.onClosed(this);
		this.closing = true;
		cancelTimers();
		if (this.exchange != null) {
			Exchange abandoned = this.exchange;
			this.exchange = null;
			this.context.errors().run("end of an abandoned request", abandoned::onCallerDisconnected);
		}
		this.queued.forEach(ReferenceCountUtil::release);
		this.queued.clear();
		dropRequest();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
		if (this.exchange != null) {
			this.exchange.onWritabilityChanged(this.channel.isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
		this.context.errors().recordOnConnection("caller's connection", cause);
		this.context.log().notProcessed(0, "caller connection failed: " + cause);
		this.channel.close();
	}

	boolean hasRequest() {
		return !this.lingering && (this.answering || this.head != null || writing());
	}

	void closeIfIdle() {
		if (!hasRequest() && !this.closing && this.queued.isEmpty()) {
			close();
		}
	}

	void onStopping(StopPlan plan) {
		if (this.exchange != null) {
			this.exchange.onStopping(plan);
		}
		else if (this.head != null && plan.isOver(this.context.time().elapsed())) {
			rejectIncomplete(RejectionCode.STOPPING, "body not received before this instance stops");
		}
	}

	/**
	 * Returns whether the last answer is not written completely, although the next
	 * request may follow.
	 * @return whether the caller still reads it
	 */
	private boolean writing() {
		return this.lastAnswer.filter((written) -> !written.isDone()).isPresent();
	}

	/**
	 * Closes the connection, unless a part of the last answer was written since the idle
	 * timeout began.
	 */
	private void onIdle() {
		if (unwritten() < this.unwrittenBytes) {
			waitForRequest();
		}
		else if (writing()) {
			close();
		}
		else {
			closeIfIdle();
		}
	}

	private long unwritten() {
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() - buffer.currentProgress() : 0;
	}

	private void process(HttpObject part) {
		try {
			if (part.decoderResult().isFailure()) {
				rejectMalformed(part.decoderResult().cause());
				return;
			}
			if (part instanceof HttpRequest request) {
				processHead(request);
			}
			if (part instanceof HttpContent content && this.head != null) {
				processBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(part);
		}
	}

	private void processHead(HttpRequest request) {
		cancelTimers();
		this.headStarted = false;
		this.head = request;
		this.headAt = this.context.time().elapsed();
		this.body = this.channel.alloc().compositeBuffer(64);
		CallerLimits limits = this.connections.limits();
		if (RequestFraming.isAmbiguous(request)) {
			rejectIncomplete(RejectionCode.MALFORMED_REQUEST, "ambiguous framing");
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
			rejectIncomplete(limitExceeded(RejectionCode.BODY_TOO_LARGE),
					"body above " + limits.bodyBytes() + " bytes");
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		this.readTimer = schedule(limits.headerTimeout().plus(limits.idleTimeout()),
				() -> rejectIncomplete(RejectionCode.REQUEST_TOO_SLOW, "body not received in time"));
	}

	private void processBody(HttpContent content) {
		if (content.content().isReadable()) {
			this.body.addComponent(true, content.content().retain());
		}
		int limit = this.connections.limits().bodyBytes();
		if (this.body.readableBytes() > limit) {
			rejectIncomplete(limitExceeded(RejectionCode.BODY_TOO_LARGE), "body above " + limit + " bytes");
			return;
		}
		if (content instanceof LastHttpContent) {
			startExchange();
		}
	}

	private void startExchange() {
		cancelTimers();
		HttpRequest request = this.head;
		CompositeByteBuf complete = this.body;
		this.head = null;
		this.body = null;
		this.answering = true;
		boolean keep = HttpUtil.isKeepAlive(request);
		Exchange started = new Exchange(this.context, new Sink(keep, request), request, complete, this.headAt);
		this.exchange = started;
		// Not before a close was handled that arrived with the request.
		this.context.loop().execute("start of a request", () -> {
			if (this.exchange == started && this.channel.isActive()) {
				started.start();
			}
		});
	}

	/**
	 * Returns how to reject a request that exceeds a limit. Without a configuration the
	 * limits are only assumed, so that the caller may retry.
	 * @param code the reason if the limit is configured
	 * @return the reason to send
	 */
	private RejectionCode limitExceeded(RejectionCode code) {
		return this.connections.configured() ? code : RejectionCode.NOT_READY;
	}

	private void rejectMalformed(Throwable cause) {
		boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		rejectIncomplete(tooLarge ? limitExceeded(RejectionCode.HEADERS_TOO_LARGE) : RejectionCode.MALFORMED_REQUEST,
				String.valueOf(cause.getMessage()));
	}

	/**
	 * Rejects a request that was not read completely, and closes the connection, because
	 * the start of the next request is unknown.
	 * @param code the reason, sent to the caller
	 * @param why the details, for the log only
	 */
	private void rejectIncomplete(RejectionCode code, String why) {
		cancelTimers();
		dropRequest();
		this.context.log().notProcessed(code.status(), why);
		HttpResponse response = rejection(code,
				code.retryable() ? Optional.of(this.context.admission().retryAfter(ASSUMED_DELAY)) : Optional.empty());
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		closeOnceWritten(this.channel.writeAndFlush(response));
	}

	/**
	 * Closes the connection after its last answer, or when the caller has read nothing of
	 * it for the idle timeout. The caller's side is left open for the idle timeout at
	 * most: bytes that arrive after a close would reset the connection, and the caller
	 * would lose what it has not read.
	 * @param written the end of the writing of the answer
	 */
	private void closeOnceWritten(ChannelFuture written) {
		this.closing = true;
		this.lastAnswer = Optional.of(written);
		waitForRequest();
		written.addListener((done) -> {
			if (!done.isSuccess() || !(this.channel instanceof DuplexChannel duplex)) {
				this.channel.close();
				return;
			}
			this.lingering = true;
			duplex.shutdownOutput();
			cancelTimers();
			this.idleTimer = schedule(this.connections.limits().idleTimeout(), this.channel::close);
		});
	}

	private HttpResponse rejection(RejectionCode code, Optional<Duration> retryAfter) {
		return RejectionResponse.of(code, retryAfter,
				code.notRun() ? this.context.callers().notRunHeaders() : EmptyHttpHeaders.INSTANCE);
	}

	private void finishAnswer(boolean keep, ChannelFuture written) {
		this.exchange = null;
		if (!keep || !this.channel.isActive()) {
			closeOnceWritten(written);
			return;
		}
		this.answering = false;
		this.lastAnswer = Optional.of(written);
		waitForRequest();
		while (!this.answering && !this.closing && !this.queued.isEmpty()) {
			process(this.queued.poll());
		}
	}

	/**
	 * Starts the timeout for the head of a request when its first bytes arrive.
	 */
	private void onBytes() {
		if (this.head == null && !this.answering && !this.closing && !this.headStarted) {
			this.headStarted = true;
			cancelTimers();
			this.readTimer = schedule(this.connections.limits().headerTimeout(),
					() -> rejectIncomplete(RejectionCode.REQUEST_TOO_SLOW, "headers not received in time"));
		}
	}

	private void waitForRequest() {
		cancelTimers();
		this.unwrittenBytes = unwritten();
		this.idleTimer = schedule(this.connections.limits().idleTimeout(), this::onIdle);
	}

	private Future<?> schedule(Duration delay, Runnable action) {
		return this.context.loop().schedule("timer of a caller's connection", delay, action);
	}

	private void cancelTimers() {
		if (this.readTimer != null) {
			this.readTimer.cancel(false);
		}
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
		}
	}

	private void dropRequest() {
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
	 * Detects the first bytes of a request, before the HTTP codec decodes them.
	 */
	private final class FirstByteHandler extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext handlerContext, Object message) {
			onBytes();
			handlerContext.fireChannelRead(message);
		}

	}

	/**
	 * Writes the response to one request.
	 */
	private final class Sink implements CallerSink {

		private final boolean keepAlive;

		private final HttpRequest request;

		private boolean chunked;

		private boolean keptAfterStream;

		Sink(boolean keepAlive, HttpRequest request) {
			this.keepAlive = keepAlive;
			this.request = request;
		}

		@Override
		public void send(int status, HttpHeaders headers, ByteBuf answer) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.readableBytes());
			boolean keep = setConnectionHeader(headers);
			finishAnswer(keep, channel().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), answer, headers, EmptyHttpHeaders.INSTANCE)));
		}

		@Override
		public void sendHead(int status, HttpHeaders headers) {
			this.chunked = this.request.protocolVersion().isKeepAliveDefault();
			if (this.chunked) {
				headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
			this.keptAfterStream = setConnectionHeader(headers);
			channel().write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
		}

		@Override
		public void sendContent(ByteBuf content) {
			channel().writeAndFlush(new DefaultHttpContent(content));
		}

		@Override
		public void end() {
			// A close that was not announced would lose a request that follows at once.
			finishAnswer(this.keptAfterStream, channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
		}

		@Override
		public void abort() {
			CallerConnection.this.exchange = null;
			close();
		}

		@Override
		public void reject(RejectionCode code, Optional<Duration> retryAfter) {
			HttpResponse response = rejection(code, retryAfter);
			boolean keep = setConnectionHeader(response.headers());
			finishAnswer(keep, channel().writeAndFlush(response));
		}

		@Override
		public boolean writable() {
			return channel().isWritable();
		}

		private boolean setConnectionHeader(HttpHeaders headers) {
			boolean keep = shouldKeepAlive();
			if (!keep) {
				headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			return keep;
		}

		/**
		 * Returns whether the connection stays open after the response. An HTTP/1.0
		 * connection is closed: its caller cannot decode the chunked encoding, so a
		 * streamed response ends with the connection.
		 * @return whether further requests may follow
		 */
		private boolean shouldKeepAlive() {
			return this.keepAlive && !CallerConnection.this.connections.draining()
					&& (this.chunked || this.request.protocolVersion().isKeepAliveDefault());
		}

		private Channel channel() {
			return CallerConnection.this.channel;
		}

	}

}
