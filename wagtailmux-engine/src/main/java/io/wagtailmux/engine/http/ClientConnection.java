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
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import io.wagtailmux.model.TimeSource;

/**
 * One connection, with at most one call at a time.
 *
 * <p>
 * It is kept only after a whole response whose end is framed and whose request was
 * written to its end; bytes that come between calls close it.
 *
 * @author the wagtailmux developers
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	private final HttpDestination destination;

	private final TimeSource time;

	private Channel channel;

	private ClientCall call;

	private ChannelFuture written;

	private boolean skipping;

	private boolean skippedOne;

	private boolean reusable;

	private Duration idleSince = Duration.ZERO;

	private Duration idleLimit = KeepAliveHeader.UNSTATED;

	ClientConnection(HttpDestination destination, TimeSource time) {
		this.destination = destination;
		this.time = time;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	void send(ClientCall next) {
		this.call = next;
		this.skipping = false;
		this.reusable = false;
		next.sentOn(this);
		this.written = this.channel.writeAndFlush(encode(next.request()));
	}

	boolean open() {
		return this.channel.isActive();
	}

	Duration idleFor(Duration now) {
		return now.minus(this.idleSince);
	}

	boolean expired(Duration now) {
		return !open() || idleFor(now).compareTo(this.idleLimit) >= 0;
	}

	void read(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	void close() {
		this.channel.close();
	}

	void abandon(ClientCall abandoned) {
		if (this.call == abandoned) {
			this.call = null;
			close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			received((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		end(CallFailure.BROKEN, String.valueOf(cause.getMessage()));
		close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.destination.forget(this);
		end(CallFailure.BROKEN, "the connection was closed");
	}

	private void received(HttpObject message) {
		if (this.call == null) {
			close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			end(CallFailure.MALFORMED, String.valueOf(message.decoderResult().cause().getMessage()));
			return;
		}
		if (message instanceof HttpResponse response) {
			head(response);
		}
		if (message instanceof HttpContent content) {
			content(content);
		}
	}

	private void head(HttpResponse response) {
		this.skipping = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
				|| !this.call.request().responseFilter().test(response);
		if (this.skipping) {
			this.skippedOne |= response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
			return;
		}
		boolean framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
				|| this.call.request().method().equals(HttpMethod.HEAD);
		this.reusable = framed && HttpUtil.isKeepAlive(response);
		this.idleLimit = KeepAliveHeader.idleLimit(response.headers());
		this.call.head(response);
	}

	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skipping) {
			this.skipping = !last;
			return;
		}
		ClientCall current = this.call;
		if (content.content().isReadable()) {
			current.content(content.content());
		}
		if (last && this.call == current) {
			this.call = null;
			settle();
			current.end();
		}
	}

	private void settle() {
		boolean keep = this.reusable && !this.skippedOne && this.written.isSuccess() && open();
		if (!keep) {
			close();
			return;
		}
		read(true);
		this.idleSince = this.time.elapsed();
		this.destination.keep(this);
	}

	private void end(CallFailure failure, String detail) {
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
