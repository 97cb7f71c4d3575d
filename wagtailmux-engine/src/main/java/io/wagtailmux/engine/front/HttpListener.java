package io.wagtailmux.engine.front;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;

import io.wagtailmux.engine.http.TcpKeepAlive;

/**
 * Listens for HTTP/1.1 connections and serves them on a single event loop.
 *
 * @author the wagtailmux developers
 */
public final class HttpListener implements AutoCloseable {

	/** Limit of the request line, which does not count towards the headers. */
	private static final int MAXIMUM_LINE_BYTES = 8192;

	private static final int MAXIMUM_CHUNK_BYTES = 16_384;

	private static final int BACKLOG = 1024;

	/** Of one connection in a row, before others get their turn. */
	private static final int MAXIMUM_READS = 16;

	private final Channel channel;

	/**
	 * Starts to listen; waits until the address is bound.
	 * @param loop the event loop that accepts and serves the connections; must not be
	 * that of the calling thread
	 * @param address the address; port zero chooses a free port
	 * @param headerBytes returns the maximum size of a request's headers in bytes; called
	 * for each connection on the event loop
	 * @param handlers creates the handler of each connection, on the event loop
	 * @throws ListenException if the address cannot be bound, or if the thread is
	 * interrupted, whose interrupt flag is then set
	 */
	public HttpListener(EventLoop loop, InetSocketAddress address, Supplier<Integer> headerBytes,
			Supplier<ChannelHandler> handlers) {
		ServerBootstrap bootstrap = TcpKeepAlive.applyTo(new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			// Reads on until nothing is left, so that a close is seen with the request.
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAXIMUM_READS))
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel accepted) {
					accepted.pipeline()
						.addLast(new HttpServerCodec(MAXIMUM_LINE_BYTES, headerBytes.get(), MAXIMUM_CHUNK_BYTES))
						.addLast(handlers.get());
				}

			}));
		try {
			this.channel = bootstrap.bind(address).sync().channel();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ListenException("interrupted while binding " + address, ex);
		}
		catch (Exception ex) {
			throw new ListenException("cannot listen on " + address, ex);
		}
	}

	/**
	 * Returns the port that this listener is bound to.
	 * @return the port, also if port zero was requested
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close();
	}

}
