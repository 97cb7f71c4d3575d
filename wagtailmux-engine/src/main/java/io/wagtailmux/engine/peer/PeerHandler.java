package io.wagtailmux.engine.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.stage.LocalPieceService;
import io.wagtailmux.engine.stage.PieceGroup;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.FreeResultsMessage;
import io.wagtailmux.peer.wire.PieceGroupMessage;
import io.wagtailmux.peer.wire.PingMessage;

/**
 * Answers other instances on one connection, one request at a time. If the other side
 * leaves, what it asked for is cancelled.
 *
 * @author the wagtailmux developers
 */
public final class PeerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final Runnable NOTHING = () -> {
	};

	private final LocalPieceService owner;

	private final Supplier<PingMessage> self;

	private Runnable cancel = NOTHING;

	/**
	 * Creates the handler of one connection.
	 * @param owner makes pieces
	 * @param self what this instance says of itself
	 */
	public PeerHandler(LocalPieceService owner, Supplier<PingMessage> self) {
		this.owner = owner;
		this.self = self;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		try {
			answer(context, request);
		}
		catch (ProtocolException | IllegalArgumentException ex) {
			write(context, HttpResponseStatus.BAD_REQUEST,
					Unpooled.copiedBuffer(String.valueOf(ex.getMessage()), StandardCharsets.UTF_8));
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.cancel.run();
		this.cancel = NOTHING;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private void answer(ChannelHandlerContext context, FullHttpRequest request) {
		String path = request.uri();
		if (path.equals(PeerPath.PING.path())) {
			write(context, HttpResponseStatus.OK, ThriftCodec.encode(this.self.get()));
		}
		else if (path.equals(PeerPath.PIECES.path())) {
			pieces(context, ThriftCodec.decode(request.content(), new PieceGroupMessage()));
		}
		else if (path.equals(PeerPath.FREE.path())) {
			FreeResultsMessage message = ThriftCodec.decode(request.content(), new FreeResultsMessage());
			List<ResultHandle> handles = message.getHandles().stream().map(ResultHandle::new).toList();
			this.owner.free(new PoolId(message.getPool()), handles);
			write(context, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
		}
		else {
			write(context, HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
		}
	}

	private void pieces(ChannelHandlerContext context, PieceGroupMessage message) {
		PieceGroup group = PieceMessages.group(message);
		PoolId pool = new PoolId(message.getPool());
		this.cancel = this.owner.submit(pool, group, (result) -> {
			this.cancel = NOTHING;
			if (context.channel().isActive()) {
				write(context, HttpResponseStatus.OK, ThriftCodec.encode(PieceMessages.result(result)));
				return;
			}
			this.owner.free(pool, result.handles());
		});
	}

	private static void write(ChannelHandlerContext context, HttpResponseStatus status, ByteBuf body) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		context.writeAndFlush(response);
	}

}
