package io.wagtailmux.decision.availability;

import java.time.Duration;

/**
 * Whether one process of an endpoint wants new requests from this instance, by what it
 * said in its answers. Not thread-safe.
 *
 * <p>
 * Load pattern: endpoints are replaced in turn or are overloaded, and say so in answers
 * before the registry does. A process that is leaving does not come back. One that named
 * a time to stay away gets nothing until then; it returns like a cold one, since all
 * instances that it refused together would otherwise send to it together.
 *
 * @author the wagtailmux developers
 */
public final class EndpointAvailability {

	/** Bounds what an endpoint may ask for. */
	public static final Duration MAXIMUM_AWAY_TIME = Duration.ofMinutes(5);

	/** For an endpoint whose time to stay away cannot be read. */
	public static final Duration UNREADABLE_AWAY_TIME = Duration.ofSeconds(1);

	/** Time after the return for which the endpoint counts as cold. */
	private static final Duration RETURN_TIME = Duration.ofMillis(500);

	private boolean leaving;

	private Duration awayUntil = Duration.ZERO;

	/**
	 * Records that the endpoint said that it is leaving.
	 * @return whether this was not known before
	 */
	public boolean recordLeaving() {
		boolean known = this.leaving;
		this.leaving = true;
		return !known;
	}

	/**
	 * Records that the endpoint named a time to stay away. An earlier, longer one still
	 * holds.
	 * @param time the time, of which at most {@link #MAXIMUM_AWAY_TIME} counts
	 * @param now the elapsed time
	 * @return whether the endpoint stays away for longer than was known before
	 */
	public boolean recordAway(Duration time, Duration now) {
		Duration bounded = (time.compareTo(MAXIMUM_AWAY_TIME) < 0) ? time : MAXIMUM_AWAY_TIME;
		Duration until = now.plus(bounded);
		if (until.compareTo(this.awayUntil) <= 0) {
			return false;
		}
		this.awayUntil = until;
		return true;
	}

	/**
	 * Returns whether the endpoint may get new requests, as far as it said.
	 * @param now the elapsed time
	 * @return false if it is leaving or stays away
	 */
	public boolean available(Duration now) {
		return !this.leaving && now.compareTo(this.awayUntil) >= 0;
	}

	/**
	 * Returns whether the endpoint said that it is leaving.
	 * @return whether its process gets no further request
	 */
	public boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns until when the endpoint stays away.
	 * @return the elapsed time; in the past if it does not
	 */
	public Duration awayUntil() {
		return this.awayUntil;
	}

	/**
	 * Returns whether the endpoint has stayed away until shortly before.
	 * @param now the elapsed time
	 * @return whether it is to get as few requests as a cold one
	 */
	public boolean returning(Duration now) {
		return !this.awayUntil.isZero() && now.compareTo(this.awayUntil.plus(RETURN_TIME)) < 0;
	}

}
