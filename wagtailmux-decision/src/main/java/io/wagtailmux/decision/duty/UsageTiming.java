package io.wagtailmux.decision.duty;

import java.time.Duration;

/**
 * Windows of usage. Window k begins k times the length after the start of 1970.
 *
 * @param length the length of a window
 * @param due how long after its end the report of a window must have arrived
 * @author the wagtailmux developers
 */
public record UsageTiming(Duration length, Duration due) {

	/** Windows for which counts and reports are kept, besides the current one. */
	static final int KEPT_WINDOWS = 12;

	/** Time reserved for writing and sending a report before it is due. */
	private static final Duration SENDING_TIME = Duration.ofSeconds(3);

	/**
	 * Returns the window that a time lies in.
	 * @param sinceEpoch the true time since the start of 1970
	 * @return the number of the window
	 */
	public long window(Duration sinceEpoch) {
		return Math.floorDiv(sinceEpoch.toNanos(), this.length.toNanos());
	}

	/**
	 * Returns when a window ends.
	 * @param window the number of the window
	 * @return the true time since the start of 1970
	 */
	public Duration end(long window) {
		return this.length.multipliedBy(window + 1);
	}

	/**
	 * Returns the time after which a report waits for no further counts.
	 * @param window the number of the window
	 * @return the true time since the start of 1970
	 */
	Duration lastFix(long window) {
		Duration early = this.due.minus(SENDING_TIME);
		return end(window).plus(early.isNegative() ? Duration.ZERO : early);
	}

	/**
	 * Returns whether a window is so long past that nothing more is done about it. Until
	 * then nothing is lost while the store or the receiver is down.
	 * @param window the number of the window
	 * @param sinceEpoch the true time since the start of 1970
	 * @return whether more windows than are kept have ended since
	 */
	boolean isPast(long window, Duration sinceEpoch) {
		return window(sinceEpoch) - window > KEPT_WINDOWS;
	}

}
