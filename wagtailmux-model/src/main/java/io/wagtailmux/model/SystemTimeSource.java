package io.wagtailmux.model;

import java.time.Duration;
import java.time.Instant;

/**
 * Time source that reads the clocks of the process. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
enum SystemTimeSource implements TimeSource {

	/** The only instance. */
	INSTANCE;

	private final long originNanos = System.nanoTime();

	@Override
	public Duration elapsed() {
		return Duration.ofNanos(System.nanoTime() - this.originNanos);
	}

	@Override
	public Instant instant() {
		return Instant.now();
	}

}
