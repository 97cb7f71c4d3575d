package io.wagtailmux.decision.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers that one instance received from the version on trial and from the previous
 * versions during a rollout.
 *
 * <p>
 * Response times are compared by route with those of the previous versions, since a
 * version may be slow on one route only. The pace of streams is counted apart from the
 * answers, that is from failures and the time to the first event: a version may begin its
 * streams in time and be slow afterwards, and the first event has a much larger spread,
 * in which slow streams would go unnoticed. Under high load the previous versions are
 * slow as well, which raises both their usual times and their bad counts. Not safe for
 * use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class VersionEvidence {

	/** An answer that takes longer than this many times the usual time is slow. */
	private static final int SLOW_FACTOR = 3;

	/** A smaller delay than this is no evidence about the version. */
	private static final Duration MIN_SLOW_DELAY = Duration.ofMillis(50);

	private final Map<String, UsualTime> usualTimes = new HashMap<>();

	private final Map<String, UsualTime> usualTimesPerEvent = new HashMap<>();

	private VersionComparison answers = VersionComparison.NONE;

	private VersionComparison streams = VersionComparison.NONE;

	/**
	 * Records an answer. A failure or a slow answer counts as bad. No answer counts as
	 * slow before the previous versions have given five successful answers on the route.
	 * @param byTried whether the answer came from the version on trial
	 * @param route the route of the request
	 * @param success whether the answer was successful
	 * @param took the time until the answer, or until the first event of a stream
	 */
	public void recordAnswer(boolean byTried, String route, boolean success, Duration took) {
		UsualTime usual = this.usualTimes.computeIfAbsent(route, (ignored) -> new UsualTime());
		boolean good = success && !usual.exceededBy(took, 1);
		this.answers = this.answers.with(byTried, good);
		if (!byTried && success) {
			usual.add(took.toNanos());
		}
	}

	/**
	 * Records a call that was abandoned without an answer. It counts as bad if an answer
	 * after the same time would have been slow, and is ignored otherwise.
	 * @param byTried whether the call was sent to the version on trial
	 * @param route the route of the request
	 * @param lasted the time from the start of the call until it was abandoned
	 */
	public void recordAbandonedCall(boolean byTried, String route, Duration lasted) {
		UsualTime usual = this.usualTimes.get(route);
		if (usual != null && usual.exceededBy(lasted, 1)) {
			recordAnswer(byTried, route, false, lasted);
		}
	}

	/**
	 * Returns whether a stream is so slow that it counts as bad however it continues.
	 * @param route the route of the request
	 * @param pace the pace so far
	 * @return whether its events take several times as long as usual
	 */
	public boolean isSlow(String route, StreamPace pace) {
		UsualTime usual = this.usualTimesPerEvent.get(route);
		StreamPace atLeast = pace.withAwaitedEvent();
		return usual != null && usual.exceededBy(atLeast.elapsed(), atLeast.events());
	}

	/**
	 * Records a stream that was slow; to be called once for it, as soon as
	 * {@link #isSlow} is true.
	 * @param byTried whether the stream came from the version on trial
	 * @param route the route of the request
	 * @param pace the pace so far
	 */
	public void recordSlowStream(boolean byTried, String route, StreamPace pace) {
		this.streams = this.streams.with(byTried, false);
		addPace(byTried, route, pace.withAwaitedEvent());
	}

	/**
	 * Records the end of a stream that was not slow. A stream of one event is ignored.
	 * @param byTried whether the stream came from the version on trial
	 * @param route the route of the request
	 * @param pace the pace of the whole stream
	 */
	public void recordStream(boolean byTried, String route, StreamPace pace) {
		if (pace.events() > 0) {
			this.streams = this.streams.with(byTried, true);
			addPace(byTried, route, pace);
		}
	}

	private void addPace(boolean byTried, String route, StreamPace pace) {
		if (!byTried) {
			this.usualTimesPerEvent.computeIfAbsent(route, (ignored) -> new UsualTime()).add(pace.nanosPerEvent());
		}
	}

	/**
	 * Returns the answers, by success and the time to the answer or its first event.
	 * @return the counts since the order
	 */
	public VersionComparison answers() {
		return this.answers;
	}

	/**
	 * Returns the streams, by their pace after the first event.
	 * @return the counts since the order
	 */
	public VersionComparison streams() {
		return this.streams;
	}

	/**
	 * Mean time of the previous versions on one route, until an answer or between events.
	 */
	private static final class UsualTime {

		private static final double GAIN = 0.1;

		private static final int MIN_SAMPLES = 5;

		private double meanNanos;

		private int samples;

		void add(double nanos) {
			this.samples++;
			double gain = Math.max(GAIN, 1.0 / this.samples);
			this.meanNanos += gain * (nanos - this.meanNanos);
		}

		/**
		 * Returns whether a time is much longer than usual.
		 * @param took the time
		 * @param count the number of answers or events that it comprises
		 * @return whether it is several times the usual time of as many, and by a delay
		 * that is worth noticing
		 */
		boolean exceededBy(Duration took, int count) {
			double usual = this.meanNanos * count;
			return this.samples >= MIN_SAMPLES && took.toNanos() > SLOW_FACTOR * usual
					&& took.toNanos() - usual > MIN_SLOW_DELAY.toNanos();
		}

	}

}
