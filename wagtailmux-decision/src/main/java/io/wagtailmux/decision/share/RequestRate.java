package io.wagtailmux.decision.share;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rate of requests over two seconds. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class RequestRate {

	private static final Duration WINDOW = Duration.ofSeconds(2);

	/** Time in which other instances hear of a rate, with a lost report. */
	private static final Duration SETTLING_TIME = Duration.ofSeconds(1);

	private static final Duration BUCKET = Duration.ofMillis(100);

	private final Deque<Bucket> buckets = new ArrayDeque<>();

	/**
	 * Records a request.
	 * @param now the elapsed time
	 */
	public void record(Duration now) {
		Bucket last = this.buckets.peekLast();
		if (last == null || now.minus(last.startedAt).compareTo(BUCKET) >= 0) {
			last = new Bucket(now);
			this.buckets.addLast(last);
		}
		last.count++;
		Duration oldest = now.minus(WINDOW).minus(SETTLING_TIME);
		while (this.buckets.peekFirst().startedAt.compareTo(oldest) <= 0) {
			this.buckets.removeFirst();
		}
	}

	/**
	 * Returns the rate.
	 * @param now the elapsed time
	 * @return the requests per second
	 */
	public double perSecond(Duration now) {
		return count(now) / (double) WINDOW.toSeconds();
	}

	/**
	 * Returns the rate that other instances have heard of by now. An instance that claims
	 * a share for a rate that the others do not know yet would exceed the limit with
	 * them.
	 * @param now the elapsed time
	 * @return the requests per second a second ago
	 */
	public double settledPerSecond(Duration now) {
		return count(now.minus(SETTLING_TIME)) / (double) WINDOW.toSeconds();
	}

	/**
	 * Returns the number of requests that a rate is computed from.
	 * @param end the end of the two seconds, as elapsed time
	 * @return the requests of these two seconds
	 */
	public long count(Duration end) {
		Duration start = end.minus(WINDOW);
		long count = 0;
		for (Bucket bucket : this.buckets) {
			if (bucket.startedAt.compareTo(start) > 0 && bucket.startedAt.compareTo(end) <= 0) {
				count += bucket.count;
			}
		}
		return count;
	}

	private static final class Bucket {

		private final Duration startedAt;

		private int count;

		Bucket(Duration startedAt) {
			this.startedAt = startedAt;
		}

	}

}
