package io.wagtailmux.daemon;

import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;

import io.wagtailmux.daemon.caller.ProblemDetails;
import io.wagtailmux.daemon.traffic.ProblemCode;
import io.wagtailmux.daemon.traffic.RequestException;

/**
 * Rejects invalid and incomplete HTTP requests before they reach the routes: messages
 * that the HTTP codec could not decode, and requests whose body is not complete ten
 * seconds after the headers. Whatever else arrives on the connection is discarded, and
 * the connection is closed after the error response.
 *
 * <p>
 * It also replaces the content types of HTML forms with JSON: bodies are JSON whatever
 * content type the client sends, and the HTTP library would otherwise parse a form
 * instead of passing on its bytes. One guard serves one connection, on the thread of its
 * event loop.
 *
 * @author the wagtailmux developers
 */
final class RequestGuard extends ChannelInboundHandlerAdapter {

	private static final int BODY_TIMEOUT_SECONDS = 10;

	private Future<?> bodyTimeout;

	private boolean rejected;

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.rejected) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (message instanceof HttpRequest request) {
			if (request.decoderResult().isFailure()) {
				rejectUndecoded(context, request);
				return;
			}
			replaceFormContentType(request);
			this.bodyTimeout = context.executor()
				.schedule(
						() -> reject(context, ProblemCode.BODY_TOO_SLOW,
								"request body not received within " + BODY_TIMEOUT_SECONDS + " s"),
						BODY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		if (message instanceof LastHttpContent) {
			cancelBodyTimeout();
		}
		context.fireChannelRead(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		cancelBodyTimeout();
		context.fireChannelInactive();
	}

	private void rejectUndecoded(ChannelHandlerContext context, HttpRequest request) {
		Throwable cause = request.decoderResult().cause();
		ReferenceCountUtil.release(request);
		boolean headersTooLarge = cause instanceof TooLongHttpHeaderException;
		reject(context, headersTooLarge ? ProblemCode.HEADERS_TOO_LARGE : ProblemCode.MALFORMED_REQUEST,
				String.valueOf(cause.getMessage()));
	}

	private void reject(ChannelHandlerContext context, ProblemCode code, String detail) {
		this.rejected = true;
		cancelBodyTimeout();
		JsonObject details = ProblemDetails.body(UUID.randomUUID().toString(), RequestException.invalid(code, detail));
		ByteBuf body = Unpooled.copiedBuffer(details.toString(), StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(code.status()), body);
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
			.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
			.set(HttpHeaderNames.CONNECTION, "close");
		context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	private static void replaceFormContentType(HttpRequest request) {
		String type = request.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
		boolean form = type.startsWith("application/x-www-form-urlencoded") || type.startsWith("multipart/");
		if (form) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		}
	}

	private void cancelBodyTimeout() {
		if (this.bodyTimeout != null) {
			this.bodyTimeout.cancel(false);
		}
	}

}
