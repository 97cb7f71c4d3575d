package io.wagtailmux.engine.http;

import java.util.function.Consumer;

/**
 * Links from this instance to the endpoints. Told of all connections to endpoints, and
 * opens one through another instance when this one reaches no endpoint. Used on the event
 * loop of the client.
 *
 * @author the wagtailmux developers
 */
public interface EndpointLinks {

	/** Links that never fail. */
	EndpointLinks SOUND = new EndpointLinks() {
	};

	/**
	 * Returns whether this instance reaches no endpoint over its own links.
	 * @return whether new connections have to be opened with {@link #openRelayed}
	 */
	default boolean cutOff() {
		return false;
	}

	/**
	 * Records that a connection to an endpoint was opened.
	 * @param target the endpoint
	 */
	default void onOpened(EndpointTarget target) {
	}

	/**
	 * Records that a connection to an endpoint could not be opened.
	 * @param target the endpoint
	 */
	default void onNotOpened(EndpointTarget target) {
	}

	/**
	 * Records that the request of a call was written to a connection of this instance.
	 * @param call the call
	 */
	default void onSent(ClientCall call) {
	}

	/**
	 * Records that an endpoint sent something over a connection of this instance.
	 */
	default void onReceived() {
	}

	/**
	 * Finds out whether a refused connection shows that its endpoint has ended, which it
	 * does only if this instance reaches others.
	 * @param target the endpoint that refused a connection
	 * @param result accepts whether this instance reaches another endpoint
	 */
	default void confirmRefusal(EndpointTarget target, Consumer<Boolean> result) {
		result.accept(true);
	}

	/**
	 * Opens a connection to an endpoint through another instance.
	 * @param target the endpoint
	 * @param listener is told of the outcome, once
	 */
	default void openRelayed(EndpointTarget target, RelayListener listener) {
		listener.onFailed("no other instance is known");
	}

}
