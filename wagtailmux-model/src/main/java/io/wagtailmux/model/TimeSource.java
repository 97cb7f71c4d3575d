package io.wagtailmux.model;

import java.time.Duration;
import java.time.Instant;

/**
 * Source of the current time. It is passed to all code that reads the time, so that tests
 * can control it.
 *
 * <p>
 * Deadlines, leases and measurements use {@link #elapsed()}, which never decreases; the
 * wall clock is for logs and for records that people read.
 *
 * @author the wagtailmux developers
 */
public interface TimeSource {

	/**
	 * Returns the time since an arbitrary origin that is fixed for this source. Values of
	 * different processes are not comparable.
	 * @return the elapsed time, which never decreases
	 */
	Duration elapsed();

	/**
	 * Returns the wall clock time, which may go back when the clock is adjusted.
	 * @return the current instant
	 */
	Instant instant();

	/**
	 * Returns the wall clock time as a duration, for code that compares it with the
	 * elapsed time.
	 * @return the time since the start of 1970, which may go back
	 */
	default Duration sinceEpoch() {
		return Duration.between(Instant.EPOCH, instant());
	}

	/**
	 * Returns the time source that reads the clocks of this process.
	 * @return the system's time source, safe for use by several threads
	 */
	static TimeSource system() {
		return SystemTimeSource.INSTANCE;
	}

}
