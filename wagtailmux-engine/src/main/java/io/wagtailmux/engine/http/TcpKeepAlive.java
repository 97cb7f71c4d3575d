package io.wagtailmux.engine.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options for TCP keep-alive: the kernel resets an idle connection whose remote
 * side no longer acknowledges probes, about four seconds after the last packet from it.
 *
 * @author the wagtailmux developers
 */
public final class TcpKeepAlive {

	private static final int IDLE_SECONDS = 2;

	private static final int PROBE_INTERVAL_SECONDS = 1;

	private static final int PROBE_COUNT = 2;

	private TcpKeepAlive() {
	}

	/**
	 * Sets the options on client connections.
	 * @param bootstrap the bootstrap to change
	 * @return the same bootstrap
	 */
	public static Bootstrap applyTo(Bootstrap bootstrap) {
		return bootstrap.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT);
	}

	/**
	 * Sets the options on accepted connections.
	 * @param bootstrap the bootstrap to change
	 * @return the same bootstrap
	 */
	public static ServerBootstrap applyTo(ServerBootstrap bootstrap) {
		return bootstrap.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
			.childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
			.childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT);
	}

}
