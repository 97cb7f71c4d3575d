package io.wagtailmux.decision.share;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A sliding-window counter of events with a resolution of a tenth of the window. Not
 * thread-safe.
 *
 * @author the wagtailmux developers
 */
final class SlidingCount {

	private static final int BUCKETS = 10;

	private final Duration window;

	private final Deque<Bucket> buckets = new ArrayDeque<>();

	private long total;

	SlidingCount(Duration window) {
		this.window = window;
	}

	void add(Duration now) {
		Bucket last = this.buckets.peekLast();
		if (last == null || now.minus(last.startedAt).compareTo(this.window.dividedBy(BUCKETS)) >= 0) {
			last = new Bucket(now);
			this.buckets.addLast(last);
		}
		last.count++;
		this.total++;
	}

	/**
	 * Returns the number of events in the window.
	 * @param now the elapsed time
	 * @return the count, which may include events that are up to a tenth of the window
	 * too old but omits none
	 */
	long count(Duration now) {
		Duration maximumAge = this.window.plus(this.window.dividedBy(BUCKETS));
		while (!this.buckets.isEmpty() && now.minus(this.buckets.peekFirst().startedAt).compareTo(maximumAge) > 0) {
			this.total -= this.buckets.pollFirst().count;
		}
		return this.total;
	}

	private static final class Bucket {

		private final Duration startedAt;

		private int count;

		Bucket(Duration startedAt) {
			this.startedAt = startedAt;
		}

	}

}
