package io.wagtailmux.engine.http;

import java.net.ConnectException;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;

/**
 * Whether a process listens on its address.
 *
 * @author the wagtailmux developers
 */
public enum Listening {

	/** It accepts connections. */
	YES,

	/** Its machine refuses connections to the address: the process has ended. */
	REFUSED,

	/** This instance reaches no endpoint, so that the attempt tells nothing. */
	NOT_REACHED,

	/** There was no answer, so that the process or the network may have failed. */
	UNKNOWN;

	static Listening of(ChannelFuture connect) {
		if (connect.isSuccess()) {
			return YES;
		}
		boolean refused = connect.cause() instanceof ConnectException
				&& !(connect.cause() instanceof ConnectTimeoutException);
		return refused ? REFUSED : UNKNOWN;
	}

}
