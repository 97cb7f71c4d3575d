package io.wagtailmux.engine.http;

import io.netty.channel.Channel;

/**
 * Is told of the outcome when a connection is opened through another instance.
 *
 * @author the wagtailmux developers
 */
public interface RelayListener {

	/**
	 * Handles an open connection.
	 * @param channel a channel without handlers of HTTP, whose bytes go to the endpoint
	 * and come from it
	 */
	void onOpened(Channel channel);

	/**
	 * Handles that no connection could be opened; nothing was sent to the endpoint.
	 * @param why the details, for the log
	 */
	void onFailed(String why);

}
