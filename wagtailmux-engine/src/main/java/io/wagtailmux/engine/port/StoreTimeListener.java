package io.wagtailmux.engine.port;

import java.time.Duration;

/**
 * Receives the store's steady clock from its answers.
 *
 * @author the wagtailmux developers
 */
@FunctionalInterface
public interface StoreTimeListener {

	/**
	 * Accepts the clock from one answer. Called on the traffic thread.
	 * @param sentAt the elapsed time at which the call was sent
	 * @param receivedAt the elapsed time at which the answer arrived
	 * @param storeTime the store's clock, from an origin of its own
	 */
	void onStoreTime(Duration sentAt, Duration receivedAt, Duration storeTime);

}
