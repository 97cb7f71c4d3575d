package io.wagtailmux.engine.http;

import java.net.InetSocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;

/**
 * Opens connections. Tests replace it to bring about failures of a network.
 *
 * @author the wagtailmux developers
 */
@FunctionalInterface
public interface Connector {

	/** Uses the network as it is. */
	Connector NETWORK = Bootstrap::connect;

	/**
	 * Begins to open a connection.
	 * @param bootstrap its options and handler
	 * @param address the remote address
	 * @return completed with the outcome
	 */
	ChannelFuture connect(Bootstrap bootstrap, InetSocketAddress address);

}
