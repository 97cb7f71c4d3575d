package io.wagtailmux.decision.duty;

import java.time.Duration;

import io.wagtailmux.model.TimeSource;

/**
 * The two clocks of a machine, read at the same time.
 *
 * @param elapsed the monotonic clock, which may stand still while the machine is
 * suspended
 * @param wall the wall clock as the time since the start of 1970; it may be adjusted
 * @author the wagtailmux developers
 */
public record ClockReading(Duration elapsed, Duration wall) {

	/**
	 * Reads the clocks.
	 * @param time the clocks
	 * @return the reading
	 */
	public static ClockReading of(TimeSource time) {
		return new ClockReading(time.elapsed(), time.sinceEpoch());
	}

	/**
	 * Returns the time since an earlier reading, on the clock that shows more of it.
	 * @param earlier the earlier reading
	 * @return the time, at least that of the monotonic clock
	 */
	public Duration longestSince(ClockReading earlier) {
		Duration monotonic = this.elapsed.minus(earlier.elapsed);
		Duration byWallClock = this.wall.minus(earlier.wall);
		return (byWallClock.compareTo(monotonic) > 0) ? byWallClock : monotonic;
	}

}
