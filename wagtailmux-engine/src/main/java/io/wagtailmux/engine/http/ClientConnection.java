package io.wagtailmux.engine.http;

import java.time.Duration;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.TimeSource;

/**
 * One connection to a destination, with at most one call at a time.
 *
 * <p>
 * A response without a length ends with the connection. It is complete only if the
 * request was written before: the end of a connection that breaks during a write looks
 * like an orderly one. It is never complete if another instance passes the bytes on,
 * since the end of that instance closes the connection in the same way.
 *
 * <p>
 * The connection is reused only if the response was complete and its length known from
 * the framing, if the request was written completely, if no response was dropped by the
 * filter of the request, and if the request shares its connection. The end of a call is
 * reported, and its connection used again, only after the read that brought the end:
 * bytes that follow in the same read belong to no call and close the connection, like
 * those that arrive between two calls.
 *
 * @author the wagtailmux developers
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

	private final HttpDestination destination;

	private final TimeSource time;

	private final UnexpectedErrors errors;

	private final EndpointLinks links;

	private final boolean relayed;

	private Channel channel;

	private ClientCall call;

	/** The call whose response is complete, until its end is reported. */
	private ClientCall answered;

	private ChannelFuture requestWrite;

	private boolean skippingResponse;

	private boolean skippedFinalResponse;

	private boolean reusable;

	private boolean endsWithConnection;

	private Duration idleSince = Duration.ZERO;

	private Duration idleLimit = KeepAliveHeader.DEFAULT_IDLE_LIMIT;

	/**
	 * Creates a connection that is not open yet.
	 * @param destination the process at its remote end
	 * @param time the clock
	 * @param errors records errors that no code expects
	 * @param links are told of the traffic with an endpoint
	 * @param relayed whether another instance passes the bytes on
	 */
	ClientConnection(HttpDestination destination, TimeSource time, UnexpectedErrors errors, EndpointLinks links,
			boolean relayed) {
		this.destination = destination;
		this.time = time;
		this.errors = errors;
		this.links = links;
		this.relayed = relayed;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	/**
	 * Sends the request of a call.
	 * @param nextCall the call, which is not marked as sent if the request cannot be
	 * encoded; the connection must be closed then
	 */
	void send(ClientCall nextCall) {
		DefaultFullHttpRequest message = encode(nextCall.request());
		this.call = nextCall;
		this.skippingResponse = false;
		this.reusable = false;
		nextCall.markSent(this);
		this.requestWrite = this.channel.writeAndFlush(message);
		if (reachesEndpoint()) {
			this.links.onSent(nextCall);
		}
	}

	private boolean reachesEndpoint() {
		return !this.relayed && this.destination.target().isPresent();
	}

	boolean isOpen() {
		return this.channel.isActive();
	}

	Duration idleFor(Duration now) {
		return now.minus(this.idleSince);
	}

	boolean expired(Duration now) {
		return !isOpen() || idleFor(now).compareTo(this.idleLimit) >= 0;
	}

	void setAutoRead(boolean autoRead) {
		this.channel.config().setAutoRead(autoRead);
	}

	void close() {
		this.channel.close();
	}

	void abort(ClientCall aborted) {
		if (this.call == aborted || this.answered == aborted) {
			this.call = null;
			this.answered = null;
			close();
		}
	}

	boolean awaitsResponse() {
		return this.call != null;
	}

	boolean awaitsHeadOnly() {
		return this.call != null && this.call.request().method().equals(HttpMethod.HEAD);
	}

	/**
	 * Closes the connection, or does not use it again, because of bytes that belong to no
	 * call.
	 * @param bytes the number of bytes
	 */
	void onSurplusBytes(int bytes) {
		if (isOpen()) {
			LOG.atInfo()
				.addKeyValue("destination", this.destination.address())
				.addKeyValue("bytes", bytes)
				.addKeyValue("afterResponse", this.answered != null)
				.log("received bytes that belong to no call");
		}
		this.reusable = false;
		if (this.answered == null) {
			close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			onMessage((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		reportEnd();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.errors.recordOnConnection("response to a call", cause);
		failCall(CallFailure.BROKEN, String.valueOf(cause.getMessage()));
		close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.destination.removeIdle(this);
		failCall(CallFailure.BROKEN, "the connection was closed");
	}

	private void onMessage(HttpObject message) {
		if (reachesEndpoint()) {
			this.links.onReceived();
		}
		if (this.call == null) {
			close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			failCall(CallFailure.MALFORMED, String.valueOf(message.decoderResult().cause().getMessage()));
			return;
		}
		if (message instanceof HttpResponse response) {
			if (ResponseHead.isJoined(response)) {
				failCall(CallFailure.MALFORMED, "the head contains the status line of another one");
				return;
			}
			if (!ResponseHead.hasStatusOfProtocol(response)) {
				failCall(CallFailure.MALFORMED, "the status " + response.status().code() + " is none of the protocol");
				return;
			}
			onHead(response);
		}
		if (message instanceof HttpContent content) {
			onContent(content);
		}
	}

	private void onHead(HttpResponse response) {
		this.skippingResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
				|| !this.call.request().responseFilter().test(response);
		if (this.skippingResponse) {
			this.skippedFinalResponse |= response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
			return;
		}
		this.endsWithConnection = !isFramed(response);
		this.reusable = !this.endsWithConnection && HttpUtil.isKeepAlive(response)
				&& !this.call.request().ownConnection() && !this.relayed;
		this.idleLimit = KeepAliveHeader.idleLimit(response.headers());
		this.call.onHead(response);
	}

	private boolean isFramed(HttpResponse response) {
		return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
				|| this.call.request().method().equals(HttpMethod.HEAD)
				|| response.status().equals(HttpResponseStatus.NO_CONTENT)
				|| response.status().equals(HttpResponseStatus.NOT_MODIFIED);
	}

	private void onContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skippingResponse) {
			this.skippingResponse = !last;
			return;
		}
		ClientCall current = this.call;
		if (content.content().isReadable()) {
			current.onContent(content.content());
		}
		if (last && this.call == current && this.endsWithConnection && !this.requestWrite.isSuccess()) {
			failCall(CallFailure.BROKEN, "the connection ended before the request was written");
			return;
		}
		if (last && this.call == current && this.endsWithConnection && this.relayed) {
			failCall(CallFailure.BROKEN, "the end of the response may be that of the other instance");
			return;
		}
		if (last && this.call == current) {
			this.call = null;
			this.answered = current;
		}
	}

	private void reportEnd() {
		ClientCall ended = this.answered;
		if (ended != null) {
			this.answered = null;
			keepOrClose();
			ended.onEnd();
		}
	}

	private void keepOrClose() {
		boolean keep = this.reusable && !this.skippedFinalResponse && this.requestWrite.isSuccess() && isOpen();
		if (!keep) {
			close();
			return;
		}
		setAutoRead(true);
		this.idleSince = this.time.elapsed();
		this.destination.addIdle(this);
	}

	private void failCall(CallFailure failure, String detail) {
		reportEnd();
		ClientCall current = this.call;
		this.call = null;
		close();
		if (current != null) {
			current.fail(failure, detail);
		}
	}

	private DefaultFullHttpRequest encode(OutgoingRequest request) {
		HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
		int length = request.body().readableBytes();
		if (length > 0 || request.method().equals(HttpMethod.POST) || request.method().equals(HttpMethod.PUT)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
		}
		if (!headers.contains(HttpHeaderNames.HOST)) {
			headers.set(HttpHeaderNames.HOST, this.destination.address().getHostString());
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
				request.body().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
	}

}
