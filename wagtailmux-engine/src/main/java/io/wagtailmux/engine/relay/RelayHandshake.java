package io.wagtailmux.engine.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import io.wagtailmux.engine.http.EndpointTarget;
import io.wagtailmux.engine.peer.PeerPath;
import io.wagtailmux.engine.peer.ThriftCodec;
import io.wagtailmux.peer.wire.RelayMessage;

/**
 * Asks another instance to pass the bytes of a connection on to an endpoint. After its
 * consent, the connection carries the bytes of the endpoint's connection and no further
 * messages between instances. Used for one connection.
 *
 * @author the wagtailmux developers
 */
final class RelayHandshake extends SimpleChannelInboundHandler<FullHttpResponse> {

	private static final int MAXIMUM_ANSWER_BYTES = 4096;

	private final HttpClientCodec codec = new HttpClientCodec();

	private final HttpObjectAggregator aggregator = new HttpObjectAggregator(MAXIMUM_ANSWER_BYTES);

	private final EndpointTarget target;

	private final Listener listener;

	/**
	 * Creates a handshake.
	 * @param target the endpoint
	 * @param listener is told of the outcome, once or, if the connection fails later,
	 * more often
	 */
	RelayHandshake(EndpointTarget target, Listener listener) {
		this.target = target;
		this.listener = listener;
	}

	/**
	 * Adds this handshake to a channel that is not connected yet.
	 * @param channel the channel
	 */
	void addTo(Channel channel) {
		channel.pipeline().addLast(this.codec, this.aggregator, this);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		ByteBuf body = ThriftCodec.encode(new RelayMessage(this.target.pool().value(), this.target.endpoint().value(),
				this.target.startedAtMillis()));
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
				PeerPath.RELAY.path(), body);
		request.headers().set(HttpHeaderNames.HOST, "instance");
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		context.writeAndFlush(request);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
		if (response.status().equals(HttpResponseStatus.OK)) {
			context.pipeline().remove(this);
			context.pipeline().remove(this.aggregator);
			context.pipeline().remove(this.codec);
			this.listener.onAccepted();
			return;
		}
		String why = response.status() + " " + response.content().toString(StandardCharsets.UTF_8);
		if (response.status().equals(HttpResponseStatus.BAD_GATEWAY)) {
			this.listener.onNotReached(why);
			return;
		}
		this.listener.onRefused(why);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.listener.onRefused("the connection was closed");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.listener.onRefused(String.valueOf(cause.getMessage()));
		context.close();
	}

	/**
	 * Is told what the other instance answered.
	 */
	interface Listener {

		/**
		 * Handles that the connection is now one to the endpoint.
		 */
		void onAccepted();

		/**
		 * Handles that the other instance does not reach the endpoint either.
		 * @param why the details, for the log
		 */
		void onNotReached(String why);

		/**
		 * Handles that the other instance refused or failed, which says nothing of the
		 * endpoint.
		 * @param why the details, for the log
		 */
		void onRefused(String why);

	}

}
