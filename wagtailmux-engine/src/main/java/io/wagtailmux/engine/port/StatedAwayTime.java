package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.Optional;

/**
 * What a refusal of an endpoint says about the time for which it wants nothing from this
 * instance.
 *
 * @param time the time, zero or more; empty if none is named or it cannot be read
 * @param unreadable what was named instead of a time, for the log; empty if the time is
 * readable or none is named
 * @author the wagtailmux developers
 */
public record StatedAwayTime(Optional<Duration> time, Optional<String> unreadable) {

	/** For answers that name no time. */
	public static final StatedAwayTime NONE = new StatedAwayTime(Optional.empty(), Optional.empty());

	/**
	 * Creates a readable time.
	 * @param time the time, zero or more
	 * @return the statement
	 */
	public static StatedAwayTime of(Duration time) {
		return new StatedAwayTime(Optional.of(time), Optional.empty());
	}

	/**
	 * Creates a statement that cannot be read.
	 * @param text what was named
	 * @return the statement
	 */
	public static StatedAwayTime unreadable(String text) {
		return new StatedAwayTime(Optional.empty(), Optional.of(text));
	}

}
