package io.wagtailmux.engine.peer;

import java.time.Duration;

/**
 * Converts elapsed times to ages in microseconds and back. Messages between instances
 * contain ages, since the clocks of instances differ.
 *
 * @author the wagtailmux developers
 */
final class MessageAge {

	private static final long NANOSECONDS_PER_MICROSECOND = 1000;

	private MessageAge() {
	}

	static long of(Duration at, Duration now) {
		return now.minus(at).toNanos() / NANOSECONDS_PER_MICROSECOND;
	}

	static Duration time(long ageMicroseconds, Duration now) {
		return now.minusNanos(ageMicroseconds * NANOSECONDS_PER_MICROSECOND);
	}

}
