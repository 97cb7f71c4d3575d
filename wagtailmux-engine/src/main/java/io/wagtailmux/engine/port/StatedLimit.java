package io.wagtailmux.engine.port;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an answer says about the requests per second that its endpoint accepts from all
 * instances together.
 *
 * @param requestsPerSecond the limit; empty if none is named or it cannot be read
 * @param unreadable what was named instead of a number, for the log; empty if the limit
 * is readable or none is named
 * @author the wagtailmux developers
 */
public record StatedLimit(OptionalDouble requestsPerSecond, Optional<String> unreadable) {

	/** For answers that name no limit. */
	public static final StatedLimit NONE = new StatedLimit(OptionalDouble.empty(), Optional.empty());

	/**
	 * Creates a readable limit.
	 * @param requestsPerSecond the requests per second, zero or more
	 * @return the limit
	 */
	public static StatedLimit of(double requestsPerSecond) {
		return new StatedLimit(OptionalDouble.of(requestsPerSecond), Optional.empty());
	}

	/**
	 * Creates the result of a limit that cannot be read, which changes nothing.
	 * @param text what was named
	 * @return the result
	 */
	public static StatedLimit unreadable(String text) {
		return new StatedLimit(OptionalDouble.empty(), Optional.of(text));
	}

}
