package io.wagtailmux.decision.duty;

import java.time.Duration;

/**
 * Permission of the holder of the duties to make calls for a time. Immutable, so that it
 * can be checked on the thread that makes the call.
 *
 * @param token the token that the calls name
 * @param from the clocks when the write that proves the permission was sent
 * @param length how long it lasts from then on
 * @author the wagtailmux developers
 */
public record DutyPermit(FencingToken token, ClockReading from, Duration length) {

	/**
	 * Returns whether calls may be made.
	 * @param now the clocks
	 * @return whether the time has not passed on either clock
	 */
	public boolean holds(ClockReading now) {
		return now.longestSince(this.from).compareTo(this.length) < 0;
	}

}
