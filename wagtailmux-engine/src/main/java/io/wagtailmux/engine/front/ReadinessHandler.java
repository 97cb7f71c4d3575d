package io.wagtailmux.engine.front;

import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import io.wagtailmux.engine.thread.UnexpectedErrors;

/**
 * Answers the readiness probes of the load balancer: 200 when ready, 503 when not, 404 on
 * other paths.
 *
 * @author the wagtailmux developers
 */
public final class ReadinessHandler extends SimpleChannelInboundHandler<HttpObject> {

	private final String path;

	private final BooleanSupplier ready;

	private final UnexpectedErrors errors;

	private HttpRequest request;

	/**
	 * Creates the handler of one connection.
	 * @param path the path of the probe, compared with the whole request target
	 * @param ready returns whether this instance accepts new connections; called for each
	 * probe on the connection's event loop
	 * @param errors records errors that no code expects
	 */
	public ReadinessHandler(String path, BooleanSupplier ready, UnexpectedErrors errors) {
		this.errors = errors;
		this.path = path;
		this.ready = ready;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (message instanceof HttpRequest head) {
			this.request = head;
		}
		if (message instanceof LastHttpContent && this.request != null) {
			ChannelFuture written = context.writeAndFlush(createResponse(this.request));
			if (!HttpUtil.isKeepAlive(this.request)) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
			this.request = null;
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.errors.recordOnConnection("readiness probe", cause);
		context.close();
	}

	private DefaultFullHttpResponse createResponse(HttpRequest probe) {
		HttpResponseStatus status = HttpResponseStatus.NOT_FOUND;
		if (probe.uri().equals(this.path)) {
			status = this.ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
		}
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		return response;
	}

}
