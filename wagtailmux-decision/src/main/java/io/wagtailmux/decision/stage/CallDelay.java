package io.wagtailmux.decision.stage;

import java.time.Duration;

/**
 * How much longer than expected the calls of an owner took lately. Answers when the link
 * of its machine is full, so that calls reach their endpoints late. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class CallDelay {

	private static final Duration HALF_LIFE = Duration.ofSeconds(1);

	/** No call is delayed by more than this without failing. */
	private static final Duration LONGEST = Duration.ofSeconds(1);

	private Duration delay = Duration.ZERO;

	private Duration measuredAt = Duration.ZERO;

	/**
	 * Accepts a call that was answered.
	 * @param took the duration of the call
	 * @param expected the expected duration
	 * @param now the elapsed time
	 */
	public void onCallEnded(Duration took, Duration expected, Duration now) {
		Duration excess = took.minus(expected);
		if (excess.compareTo(current(now)) > 0) {
			this.delay = (excess.compareTo(LONGEST) < 0) ? excess : LONGEST;
			this.measuredAt = now;
		}
	}

	/**
	 * Returns the delay to expect.
	 * @param now the elapsed time
	 * @return the largest delay of the recent past, which halves with each second
	 */
	public Duration current(Duration now) {
		double halvings = now.minus(this.measuredAt).toNanos() / (double) HALF_LIFE.toNanos();
		return Duration.ofNanos((long) (this.delay.toNanos() * Math.pow(0.5, Math.max(0, halvings))));
	}

}
