package io.wagtailmux.decision.share;

import java.time.Duration;
import java.util.Optional;

/**
 * What this instance may send to a pool whose endpoints all name limits.
 *
 * @param requests the requests that it may send now, to all endpoints together
 * @param perSecond the requests per second that it may send in the long run
 * @author the wagtailmux developers
 */
public record LimitedCapacity(double requests, double perSecond) {

	private static final Duration LONGEST_WAIT = Duration.ofSeconds(10);

	/**
	 * Decides whether a request fits.
	 * @param waiting the admitted requests that have not been sent yet
	 * @param refused the requests that were refused recently and may come back
	 * @param delay the time after which the request would be sent
	 * @return empty if it fits; otherwise the time after which it would fit if those that
	 * were refused come back too, at most ten seconds
	 */
	public Optional<Duration> shortfall(int waiting, long refused, Duration delay) {
		double free = this.requests + this.perSecond * delay.toNanos() / 1e9 - waiting;
		if (free >= 1) {
			return Optional.empty();
		}
		double seconds = (1 - free + refused) / this.perSecond;
		return Optional
			.of((seconds < LONGEST_WAIT.toSeconds()) ? Duration.ofNanos((long) (seconds * 1e9)) : LONGEST_WAIT);
	}

}
