package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * How much longer than expected the calls of an owner took lately. Answers when the link
 * of its machine is full, so that all its calls reach their endpoints late; one slow
 * endpoint among several does not count. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class CallDelay {

	private static final int CALLS = 5;

	/** About the time in which a full link has sent what waits. */
	private static final Duration LIFETIME = Duration.ofMillis(1500);

	/** No call is delayed by more than this without failing. */
	private static final Duration LONGEST = Duration.ofSeconds(1);

	private final Deque<Measured> calls = new ArrayDeque<>();

	/**
	 * Accepts a call that was answered.
	 * @param took the duration of the call
	 * @param expected the expected duration
	 * @param now the elapsed time
	 */
	public void onCallEnded(Duration took, Duration expected, Duration now) {
		Duration excess = took.minus(expected);
		Duration bounded = (excess.compareTo(LONGEST) < 0) ? excess : LONGEST;
		this.calls.addLast(new Measured(bounded.isNegative() ? Duration.ZERO : bounded, now));
		if (this.calls.size() > CALLS) {
			this.calls.removeFirst();
		}
	}

	/**
	 * Returns the delay to expect.
	 * @param now the elapsed time
	 * @return the median of the last calls, the smaller one of two; zero if there were
	 * none lately
	 */
	public Duration current(Duration now) {
		this.calls.removeIf((call) -> now.minus(call.at()).compareTo(LIFETIME) > 0);
		List<Duration> sorted = this.calls.stream().map(Measured::excess).sorted().toList();
		return sorted.isEmpty() ? Duration.ZERO : sorted.get((sorted.size() - 1) / 2);
	}

	/**
	 * Delay of one call.
	 *
	 * @param excess how much longer it took than expected
	 * @param at the elapsed time at which it ended
	 */
	private record Measured(Duration excess, Duration at) {

	}

}
