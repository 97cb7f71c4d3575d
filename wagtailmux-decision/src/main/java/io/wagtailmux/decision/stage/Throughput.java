package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rate at which a pool started pieces recently while others were waiting. Not
 * thread-safe.
 *
 * <p>
 * A pool is slower than the capacities of its endpoints suggest if its calls are not
 * full, because memory for results is short or too few of the waiting pieces may share a
 * call.
 *
 * @author the wagtailmux developers
 */
final class Throughput {

	private static final Duration WINDOW = Duration.ofMillis(1500);

	private final Deque<StartedCall> calls = new ArrayDeque<>();

	private Duration crowdedSince = Duration.ZERO;

	private boolean crowded;

	private int pieces;

	/**
	 * Records the start of a call.
	 * @param count the number of its pieces
	 * @param moreWaiting whether other pieces remained in the queue
	 * @param now the elapsed time
	 */
	void recordStart(int count, boolean moreWaiting, Duration now) {
		if (moreWaiting && !this.crowded) {
			this.crowdedSince = now;
		}
		this.crowded = moreWaiting;
		this.calls.addLast(new StartedCall(count, now));
		this.pieces += count;
		removeExpired(now);
	}

	/**
	 * Returns the time that the pool needs to start a number of pieces at the recent
	 * rate.
	 * @param waiting the number of pieces
	 * @param now the elapsed time
	 * @return the time; zero if pieces have not been waiting throughout the window, so
	 * that the rate shows nothing about the capacity
	 */
	Duration timeFor(int waiting, Duration now) {
		removeExpired(now);
		boolean meaningful = this.crowded && now.minus(this.crowdedSince).compareTo(WINDOW) >= 0;
		if (!meaningful || this.pieces == 0) {
			return Duration.ZERO;
		}
		return WINDOW.multipliedBy(waiting).dividedBy(this.pieces);
	}

	private void removeExpired(Duration now) {
		while (!this.calls.isEmpty() && now.minus(this.calls.peekFirst().at()).compareTo(WINDOW) > 0) {
			this.pieces -= this.calls.pollFirst().pieces();
		}
	}

	private record StartedCall(int pieces, Duration at) {

	}

}
