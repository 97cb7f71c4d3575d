package io.wagtailmux.engine.http;

import java.time.Duration;
import java.util.Optional;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;

import io.wagtailmux.model.TimeSource;

/**
 * Sends requests over kept connections, all on one event loop.
 *
 * <p>
 * It never repeats a request by itself. For example:
 *
 * <pre class="code">
 * OutgoingRequest request = OutgoingRequest.of(HttpMethod.GET, "/health").timeout(bound).build();
 * ClientCall call = client.send(destination, request, listener);
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class HttpClient {

	/** Opening packets that are lost are sent again only after about a second. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

	private static final int MAXIMUM_LINE_BYTES = 8192;

	private static final int MAXIMUM_HEADER_BYTES = 65_536;

	private static final int CHUNK_BYTES = 16_384;

	private final EventLoop loop;

	private final TimeSource time;

	private final Bootstrap bootstrap;

	/**
	 * Creates a client without connections.
	 * @param loop the event loop that everything happens on
	 * @param time the clock for idle connections
	 */
	public HttpClient(EventLoop loop, TimeSource time) {
		this.loop = loop;
		this.time = time;
		this.bootstrap = TcpKeepAlive.applyTo(new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis()));
	}

	/**
	 * Sends a request. To be called on the event loop; the listener may hear of the end
	 * before this method returns.
	 * @param destination where to
	 * @param request the request
	 * @param listener hears of the response
	 * @return the call
	 */
	public ClientCall send(HttpDestination destination, OutgoingRequest request, ResponseListener listener) {
		ClientCall call = new ClientCall(request, listener);
		call.startTimer(this.loop);
		Optional<ClientConnection> kept = destination.takeIdle(request.maxIdleTime(), this.time.elapsed());
		if (kept.isPresent()) {
			kept.get().send(call);
		}
		else {
			connect(destination, call);
		}
		return call;
	}

	/**
	 * Returns the event loop that all calls belong to.
	 * @return the event loop
	 */
	public EventLoop loop() {
		return this.loop;
	}

	private void connect(HttpDestination destination, ClientCall call) {
		ClientConnection connection = new ClientConnection(destination, this.time);
		ChannelFuture connected = this.bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new HttpClientCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, CHUNK_BYTES))
					.addLast(connection);
			}

		}).connect(destination.address());
		connected.addListener((ignored) -> connected(connected, connection, call));
	}

	private static void connected(ChannelFuture connected, ClientConnection connection, ClientCall call) {
		if (call.done()) {
			connected.channel().close();
			return;
		}
		if (!connected.isSuccess()) {
			call.fail(CallFailure.NOT_SENT, String.valueOf(connected.cause().getMessage()));
			return;
		}
		connection.send(call);
	}

}
