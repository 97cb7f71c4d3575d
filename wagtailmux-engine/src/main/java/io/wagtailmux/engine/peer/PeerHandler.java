package io.wagtailmux.engine.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.stage.LocalPieceService;
import io.wagtailmux.engine.stage.PieceGroup;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.FreeResultsMessage;
import io.wagtailmux.peer.wire.InstanceRecordMessage;
import io.wagtailmux.peer.wire.KnownTablesMessage;
import io.wagtailmux.peer.wire.PieceGroupMessage;
import io.wagtailmux.peer.wire.PingMessage;
import io.wagtailmux.peer.wire.RelayMessage;
import io.wagtailmux.peer.wire.UsageConfirmationMessage;
import io.wagtailmux.peer.wire.UsagePushMessage;

/**
 * Handles the requests of another instance on one connection, one request at a time. When
 * the connection is closed, the group of pieces that is being executed for it is
 * cancelled. Runs on the traffic thread.
 *
 * @author the wagtailmux developers
 */
public final class PeerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final Logger LOG = LoggerFactory.getLogger(PeerHandler.class);

	private static final Runnable NO_ACTION = () -> {
	};

	private final LocalPieceService pieceService;

	private final Supplier<PingMessage> pingMessage;

	private final Consumer<InstanceRecordMessage> onIntroduction;

	private final Supplier<CompletableFuture<KnownTablesMessage>> knownTables;

	private final Consumer<PingMessage> onEvidence;

	private final Function<UsagePushMessage, UsageConfirmationMessage> onUsage;

	private final BiConsumer<ChannelHandlerContext, RelayMessage> onRelay;

	private final UnexpectedErrors errors;

	private Runnable cancellation = NO_ACTION;

	/**
	 * Creates the handler of one connection.
	 * @param pieceService executes the pieces, as the owner of their pools
	 * @param pingMessage returns the current heartbeat message of this instance; called
	 * on the traffic thread
	 * @param onIntroduction receives the record of another instance, which may be new
	 * @param knownTables returns what this instance knows of the store's tables; called
	 * on the traffic thread
	 * @param onEvidence receives what another instance has just learned
	 * @param onUsage receives the counts of another instance and confirms them
	 * @param onRelay connects another instance with an endpoint and answers it
	 * @param errors records errors that no code expects
	 */
	public PeerHandler(LocalPieceService pieceService, Supplier<PingMessage> pingMessage,
			Consumer<InstanceRecordMessage> onIntroduction, Supplier<CompletableFuture<KnownTablesMessage>> knownTables,
			Consumer<PingMessage> onEvidence, Function<UsagePushMessage, UsageConfirmationMessage> onUsage,
			BiConsumer<ChannelHandlerContext, RelayMessage> onRelay, UnexpectedErrors errors) {
		this.onRelay = onRelay;
		this.errors = errors;
		this.pieceService = pieceService;
		this.pingMessage = pingMessage;
		this.onIntroduction = onIntroduction;
		this.knownTables = knownTables;
		this.onEvidence = onEvidence;
		this.onUsage = onUsage;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		try {
			handle(context, request);
		}
		catch (ProtocolException | IllegalArgumentException ex) {
			write(context, HttpResponseStatus.BAD_REQUEST,
					Unpooled.copiedBuffer(String.valueOf(ex.getMessage()), StandardCharsets.UTF_8));
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.cancellation.run();
		this.cancellation = NO_ACTION;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.errors.recordOnConnection("request of an instance", cause);
		context.close();
	}

	private void handle(ChannelHandlerContext context, FullHttpRequest request) {
		String path = request.uri();
		if (path.equals(PeerPath.PING.path())) {
			if (request.content().isReadable()) {
				this.onIntroduction.accept(ThriftCodec.decode(request.content(), new InstanceRecordMessage()));
			}
			write(context, HttpResponseStatus.OK, ThriftCodec.encode(this.pingMessage.get()));
		}
		else if (path.equals(PeerPath.EVIDENCE.path())) {
			this.onEvidence.accept(ThriftCodec.decode(request.content(), new PingMessage()));
			write(context, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
		}
		else if (path.equals(PeerPath.USAGE.path())) {
			UsagePushMessage message = ThriftCodec.decode(request.content(), new UsagePushMessage());
			write(context, HttpResponseStatus.OK, ThriftCodec.encode(this.onUsage.apply(message)));
		}
		else if (path.equals(PeerPath.FACTS.path())) {
			this.knownTables.get()
				.whenCompleteAsync((known, failure) -> answerFacts(context, known, failure), context.executor());
		}
		else if (path.equals(PeerPath.RELAY.path())) {
			this.onRelay.accept(context, ThriftCodec.decode(request.content(), new RelayMessage()));
		}
		else if (path.equals(PeerPath.PIECES.path())) {
			submitPieces(context, ThriftCodec.decode(request.content(), new PieceGroupMessage()));
		}
		else if (path.equals(PeerPath.FREE.path())) {
			FreeResultsMessage message = ThriftCodec.decode(request.content(), new FreeResultsMessage());
			List<ResultHandle> handles = message.getHandles().stream().map(ResultHandle::new).toList();
			PoolId pool = new PoolId(message.getPool());
			if (message.isOnlyIfNeeded()) {
				this.pieceService.offer(pool, handles);
			}
			else {
				this.pieceService.free(pool, handles);
			}
			write(context, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
		}
		else {
			write(context, HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
		}
	}

	private static void answerFacts(ChannelHandlerContext context, KnownTablesMessage known, Throwable failure) {
		if (failure != null) {
			LOG.atError().setCause(failure).log("could not tell what is known");
			write(context, HttpResponseStatus.INTERNAL_SERVER_ERROR, Unpooled.EMPTY_BUFFER);
			return;
		}
		write(context, HttpResponseStatus.OK, ThriftCodec.encode(known));
	}

	/**
	 * Submits a group of pieces. If this instance has just started, the sender is told to
	 * send the group to another one or to execute it itself.
	 * @param context the connection
	 * @param message the group
	 */
	private void submitPieces(ChannelHandlerContext context, PieceGroupMessage message) {
		if (!this.pieceService.knows(new PoolId(message.getPool()))) {
			write(context, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
			return;
		}
		PieceGroup group = PieceMessages.group(message);
		PoolShard shard = PieceMessages.shard(message);
		this.cancellation = this.pieceService.submit(shard, group, (result) -> {
			this.cancellation = NO_ACTION;
			if (context.channel().isActive()) {
				write(context, HttpResponseStatus.OK, ThriftCodec.encode(PieceMessages.result(result)));
				return;
			}
			this.pieceService.free(shard.pool(), result.handles());
		});
	}

	private static void write(ChannelHandlerContext context, HttpResponseStatus status, ByteBuf body) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		context.writeAndFlush(response);
	}

}
