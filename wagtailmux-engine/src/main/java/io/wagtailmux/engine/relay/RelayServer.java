package io.wagtailmux.engine.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.EndpointLinks;
import io.wagtailmux.engine.http.EndpointTarget;
import io.wagtailmux.engine.peer.PeerHandler;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.RelayMessage;

/**
 * Passes bytes between instances whose links to the endpoints failed and endpoints. Used
 * on the traffic thread only.
 *
 * <p>
 * The other instance decides about its calls; this one only refuses endpoints that it
 * would not call itself, so that whichever of the two knows the newer facts is obeyed. It
 * always connects to the endpoint itself, so that bytes pass through one instance at
 * most.
 *
 * @author the wagtailmux developers
 */
public final class RelayServer {

	/** Bounds the memory and the descriptors that other instances take here. */
	private static final int MAXIMUM_CONNECTIONS = 100;

	private final EngineContext context;

	private final EndpointLinks links;

	private int connections;

	/**
	 * Creates a server without connections.
	 * @param context the shared objects of the engine
	 * @param links the links of this instance
	 */
	public RelayServer(EngineContext context, EndpointLinks links) {
		this.context = context;
		this.links = links;
		context.metrics().registry().gauge("relay_connections_open", () -> () -> this.connections);
	}

	/**
	 * Handles the request of another instance. The handlers of its channel are replaced
	 * if it is accepted.
	 * @param caller the context of the {@link PeerHandler} that received the request
	 * @param message the request
	 */
	public void open(ChannelHandlerContext caller, RelayMessage message) {
		Optional<String> refusal = refusal(caller);
		Optional<LiveEndpoint> endpoint = endpoint(message);
		if (refusal.isPresent() || endpoint.isEmpty()) {
			answer(caller, HttpResponseStatus.SERVICE_UNAVAILABLE, refusal.orElse("endpoint not usable from here"));
			return;
		}
		this.connections++;
		caller.channel().closeFuture().addListener((closed) -> this.connections--);
		RelaySplice toCaller = new RelaySplice(caller.channel());
		ChannelFuture connecting = this.context.client().open(endpoint.get().entry().address(), toCaller);
		Channel remote = connecting.channel();
		caller.channel().closeFuture().addListener((closed) -> remote.close());
		connecting.addListener((ignored) -> onConnected(caller, connecting, target(endpoint.get())));
	}

	private void onConnected(ChannelHandlerContext caller, ChannelFuture connecting, EndpointTarget target) {
		if (!connecting.isSuccess()) {
			this.links.onNotOpened(target);
			answer(caller, HttpResponseStatus.BAD_GATEWAY, String.valueOf(connecting.cause().getMessage()));
			return;
		}
		this.links.onOpened(target);
		if (!caller.channel().isActive()) {
			connecting.channel().close();
			return;
		}
		answer(caller, HttpResponseStatus.OK, "");
		caller.pipeline().addLast(new RelaySplice(connecting.channel()));
		caller.pipeline().remove(HttpObjectAggregator.class);
		caller.pipeline().remove(PeerHandler.class);
		caller.pipeline().remove(HttpServerCodec.class);
		this.context.metrics().registry().counter("relayed_for_others").inc();
	}

	private Optional<String> refusal(ChannelHandlerContext caller) {
		if (this.links.cutOff()) {
			return Optional.of("reaches no endpoint itself");
		}
		if (this.context.state().stopPlan().isPresent()) {
			return Optional.of("stops");
		}
		if (this.connections >= MAXIMUM_CONNECTIONS) {
			return Optional.of("no room for further connections");
		}
		return isInstance(caller.channel()) ? Optional.empty() : Optional.of("the sender is not a known instance");
	}

	private boolean isInstance(Channel channel) {
		return channel.remoteAddress() instanceof InetSocketAddress remote && this.context.state()
			.view()
			.peers()
			.stream()
			.anyMatch((peer) -> peer.address().getAddress().equals(remote.getAddress()));
	}

	private Optional<LiveEndpoint> endpoint(RelayMessage message) {
		Duration now = this.context.time().elapsed();
		return this.context.state()
			.pool(new PoolId(message.getPool()))
			.flatMap((pool) -> pool.endpoint(new EndpointId(message.getEndpoint())))
			.filter((endpoint) -> endpoint.entry().startedAtMillis() == message.getStartedAtMillis())
			.filter((endpoint) -> endpoint.usable(now));
	}

	private static EndpointTarget target(LiveEndpoint endpoint) {
		return new EndpointTarget(endpoint.entry().pool(), endpoint.entry().id(), endpoint.entry().startedAtMillis(),
				endpoint.entry().zone());
	}

	private static void answer(ChannelHandlerContext caller, HttpResponseStatus status, String why) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.copiedBuffer(why, StandardCharsets.UTF_8));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		caller.writeAndFlush(response);
	}

	/**
	 * Passes what one channel receives on to another one. The other channel is closed in
	 * the way in which this one was: after all its bytes, or with a reset.
	 */
	private static final class RelaySplice extends ChannelInboundHandlerAdapter {

		private final Channel other;

		private boolean reset;

		RelaySplice(Channel other) {
			this.other = other;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.other.write(message);
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			this.other.flush();
			context.channel().config().setAutoRead(this.other.isWritable());
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			this.other.config().setAutoRead(context.channel().isWritable());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			this.reset = true;
			context.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (this.reset) {
				this.other.config().setOption(ChannelOption.SO_LINGER, 0);
				this.other.close();
				return;
			}
			this.other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((written) -> this.other.close());
		}

	}

}
