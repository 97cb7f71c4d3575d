package io.wagtailmux.engine.front;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Collections;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

import io.wagtailmux.engine.thread.UnexpectedErrors;

/**
 * Serves the metrics in the Prometheus text format, for any request, and closes the
 * connection after the response.
 *
 * @author the wagtailmux developers
 */
public final class MetricsHandler extends SimpleChannelInboundHandler<HttpObject> {

	private final MetricRegistry registry;

	private final UnexpectedErrors errors;

	/**
	 * Creates the handler of one connection.
	 * @param registry the metrics, read at each request
	 * @param errors records errors that no code expects
	 */
	public MetricsHandler(MetricRegistry registry, UnexpectedErrors errors) {
		this.errors = errors;
		this.registry = registry;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
		if (!(message instanceof LastHttpContent)) {
			return;
		}
		StringWriter text = new StringWriter();
		TextFormat.write004(text, Collections.enumeration(new DropwizardExports(this.registry).collect()));
		ByteBuf body = Unpooled.copiedBuffer(text.toString(), StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
				body);
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004)
			.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
			.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.errors.recordOnConnection("metrics or an operation", cause);
		context.close();
	}

}
