package io.wagtailmux.engine.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decodes the responses of a connection. Bytes that arrive while no call is open belong
 * to no response: they are dropped, so that they cannot become a part of the next one,
 * and the connection is told of them.
 *
 * <p>
 * The method of the open call decides whether a response has a body, not the order in
 * which requests and responses follow each other.
 *
 * @author the wagtailmux developers
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_INITIAL_LINE_BYTES = 8192;

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private final ClientConnection connection;

	ResponseDecoder(ClientConnection connection) {
		super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
		this.connection = connection;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
		if (this.connection.awaitsResponse()) {
			super.decode(context, input, output);
			return;
		}
		this.connection.onSurplusBytes(input.readableBytes());
		input.skipBytes(input.readableBytes());
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.connection.awaitsHeadOnly() || isInformational(message) || super.isContentAlwaysEmpty(message);
	}

	/**
	 * Returns whether the connection changes to another protocol, which no request of
	 * this client asks for.
	 * @param response the response
	 * @return false
	 */
	@Override
	protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
		return false;
	}

	private static boolean isInformational(HttpMessage message) {
		return message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

}
