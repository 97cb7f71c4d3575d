package io.wagtailmux.engine.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Options by which the kernel ends a connection whose far side has gone silent.
 *
 * @author the wagtailmux developers
 */
public final class TcpKeepAlive {

	private static final int IDLE_SECONDS = 2;

	private static final int INTERVAL_SECONDS = 1;

	private static final int PROBES = 2;

	private TcpKeepAlive() {
	}

	/**
	 * Sets the options of connections that are opened.
	 * @param bootstrap the bootstrap
	 * @return the same bootstrap
	 */
	public static Bootstrap applyTo(Bootstrap bootstrap) {
		return bootstrap.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
	}

	/**
	 * Sets the options of connections that are accepted.
	 * @param bootstrap the bootstrap
	 * @return the same bootstrap
	 */
	public static ServerBootstrap applyTo(ServerBootstrap bootstrap) {
		return bootstrap.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
			.childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
			.childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
	}

}
