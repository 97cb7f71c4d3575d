package io.wagtailmux.engine.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;

import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.model.TimeSource;

/**
 * Sends HTTP/1.1 requests over persistent connections. All calls and notifications happen
 * on one event loop.
 *
 * <p>
 * The client never retries a request. For example:
 *
 * <pre class="code">
 * OutgoingRequest request = OutgoingRequest.of(HttpMethod.GET, "/health").timeout(timeout).build();
 * ClientCall call = client.send(destination, request, listener);
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class HttpClient {

	/**
	 * Shorter than the time of about one second after which the kernel retransmits a lost
	 * SYN packet.
	 */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

	private final TrafficLoop loop;

	private final TimeSource time;

	private final Bootstrap bootstrap;

	private final Connector connector;

	private EndpointLinks links = EndpointLinks.SOUND;

	/**
	 * Creates a client without connections.
	 * @param loop the loop for all connections, timers and notifications
	 * @param time the clock that measures the idle time of connections
	 */
	public HttpClient(TrafficLoop loop, TimeSource time) {
		this(loop, time, Connector.NETWORK);
	}

	/**
	 * Creates a client without connections.
	 * @param loop the loop for all connections, timers and notifications
	 * @param time the clock that measures the idle time of connections
	 * @param connector opens connections
	 */
	public HttpClient(TrafficLoop loop, TimeSource time, Connector connector) {
		this.connector = connector;
		this.loop = loop;
		this.time = time;
		this.bootstrap = TcpKeepAlive.applyTo(new Bootstrap().group(loop.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis()));
	}

	/**
	 * Sets what is told of the connections to endpoints. Must be called before traffic
	 * starts.
	 * @param endpointLinks the links
	 */
	public void links(EndpointLinks endpointLinks) {
		this.links = endpointLinks;
	}

	/**
	 * Sends a request. Must be called on the event loop. The listener may be notified of
	 * the end before this method returns. It is notified of any failure, also of an error
	 * while the request is being sent, so that this method throws no exception.
	 * @param destination the process to send the request to
	 * @param request the request; its body is not released
	 * @param listener is notified of the response or of the failure
	 * @return the call, which can be cancelled
	 */
	public ClientCall send(HttpDestination destination, OutgoingRequest request, ResponseListener listener) {
		ClientCall call = new ClientCall(request, listener, this.loop);
		call.startTimer();
		Optional<ClientConnection> idle = needsRelay(destination) ? Optional.empty()
				: destination.takeIdle(request.maxIdleTime(), this.time.elapsed());
		if (idle.isPresent()) {
			send(idle.get(), call);
		}
		else if (!this.loop.errors().run("opening of a connection", () -> connect(destination, call))) {
			call.fail(CallFailure.NOT_SENT, "error in this instance");
		}
		return call;
	}

	/**
	 * Sends the request of a call. After an error, the call fails and the connection is
	 * closed.
	 * @param connection an open connection without a call
	 * @param call the call
	 */
	private void send(ClientConnection connection, ClientCall call) {
		if (!this.loop.errors().run("sending of a request", () -> connection.send(call))) {
			connection.close();
			call.fail(call.sent() ? CallFailure.BROKEN : CallFailure.NOT_SENT, "error in this instance");
		}
	}

	/**
	 * Opens a connection without sending anything, to learn whether a process still
	 * listens, and closes it.
	 * @param destination the process
	 * @param result called with the result, on the event loop
	 */
	public void checkListening(HttpDestination destination, Consumer<Listening> result) {
		ChannelFuture connectFuture = open(destination.address(), new ChannelInboundHandlerAdapter());
		connectFuture.addListener((ignored) -> {
			connectFuture.channel().close();
			recordOpening(destination, connectFuture.isSuccess());
			result.accept(Listening.of(connectFuture));
		});
	}

	/**
	 * Finds out whether an endpoint has ended, as {@link #checkListening} does. A refused
	 * connection counts only if this instance reaches another endpoint.
	 * @param destination the endpoint
	 * @param result called with the result, on the event loop
	 */
	public void checkEnded(HttpDestination destination, Consumer<Listening> result) {
		checkListening(destination, (found) -> {
			if (destination.target().isEmpty() || found == Listening.YES) {
				result.accept(found);
			}
			else if (this.links.cutOff()) {
				result.accept(Listening.NOT_REACHED);
			}
			else if (found == Listening.REFUSED) {
				this.links.confirmRefusal(destination.target().get(),
						(reached) -> result.accept(reached ? Listening.REFUSED : Listening.NOT_REACHED));
			}
			else {
				result.accept(found);
			}
		});
	}

	/**
	 * Opens a connection for other bytes than those of calls.
	 * @param address the remote address
	 * @param handler handles the connection
	 * @return completed with the outcome, after at most the time limit of an attempt
	 */
	public ChannelFuture open(InetSocketAddress address, ChannelHandler handler) {
		return this.connector.connect(this.bootstrap.clone().handler(handler), address);
	}

	private void recordOpening(HttpDestination destination, boolean opened) {
		destination.target().ifPresent(opened ? this.links::onOpened : this.links::onNotOpened);
	}

	private boolean needsRelay(HttpDestination destination) {
		return destination.target().isPresent() && this.links.cutOff();
	}

	/**
	 * Returns the loop that all calls belong to.
	 * @return the loop
	 */
	public TrafficLoop loop() {
		return this.loop;
	}

	private void connect(HttpDestination destination, ClientCall call) {
		if (needsRelay(destination)) {
			connectThroughRelay(destination, call);
			return;
		}
		ClientConnection connection = newConnection(destination, false);
		ChannelFuture connectFuture = open(destination.address(), new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				addHandlers(channel, connection);
			}

		});
		connectFuture.addListener((ignored) -> onConnected(connectFuture, destination, connection, call));
	}

	private ClientConnection newConnection(HttpDestination destination, boolean relayed) {
		return new ClientConnection(destination, this.time, this.loop.errors(), this.links, relayed);
	}

	private static void addHandlers(Channel channel, ClientConnection connection) {
		channel.pipeline()
			.addLast(new ResponseDecoder(connection))
			.addLast(new HttpRequestEncoder())
			.addLast(connection);
	}

	private void onConnected(ChannelFuture connectFuture, HttpDestination destination, ClientConnection connection,
			ClientCall call) {
		recordOpening(destination, connectFuture.isSuccess());
		if (call.done()) {
			connectFuture.channel().close();
			return;
		}
		if (!connectFuture.isSuccess() && needsRelay(destination)) {
			connectThroughRelay(destination, call);
			return;
		}
		if (!connectFuture.isSuccess()) {
			call.fail(CallFailure.NOT_SENT, String.valueOf(connectFuture.cause().getMessage()));
			return;
		}
		sendIfWanted(connectFuture.channel(), connection, call);
	}

	private void sendIfWanted(Channel channel, ClientConnection connection, ClientCall call) {
		if (!call.request().stillWanted()) {
			channel.close();
			call.fail(CallFailure.NOT_SENT, "not wanted any more when the connection was open");
			return;
		}
		send(connection, call);
	}

	private void connectThroughRelay(HttpDestination destination, ClientCall call) {
		this.links.openRelayed(destination.target().orElseThrow(), new RelayListener() {

			@Override
			public void onOpened(Channel channel) {
				if (call.done()) {
					channel.close();
					return;
				}
				ClientConnection connection = newConnection(destination, true);
				addHandlers(channel, connection);
				sendIfWanted(channel, connection, call);
			}

			@Override
			public void onFailed(String why) {
				call.fail(CallFailure.NOT_SENT, why);
			}

		});
	}

}
