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
 * version may be slow on one route only. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class VersionEvidence {

	/** An answer that takes longer than this many times the usual time is slow. */
	private static final int SLOW_FACTOR = 3;

	/** A smaller delay than this is no evidence about the version. */
	private static final Duration MIN_SLOW_DELAY = Duration.ofMillis(50);

	private final Map<String, UsualTime> usualTimes = new HashMap<>();

	private VersionCounts tried = VersionCounts.NONE;

	private VersionCounts others = VersionCounts.NONE;

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
		boolean good = success && !usual.exceededBy(took);
		if (byTried) {
			this.tried = this.tried.withAnswer(good);
			return;
		}
		this.others = this.others.withAnswer(good);
		if (success) {
			usual.add(took);
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
		if (usual != null && usual.exceededBy(lasted)) {
			recordAnswer(byTried, route, false, lasted);
		}
	}

	/**
	 * Returns the answers of the version on trial.
	 * @return the counts since the order
	 */
	public VersionCounts tried() {
		return this.tried;
	}

	/**
	 * Returns the answers of the previous versions.
	 * @return the counts since the order
	 */
	public VersionCounts others() {
		return this.others;
	}

	/**
	 * Mean response time of the previous versions on one route.
	 */
	private static final class UsualTime {

		private static final double GAIN = 0.1;

		private static final int MIN_SAMPLES = 5;

		private double meanNanos;

		private int samples;

		void add(Duration took) {
			this.samples++;
			double gain = Math.max(GAIN, 1.0 / this.samples);
			this.meanNanos += gain * (took.toNanos() - this.meanNanos);
		}

		boolean exceededBy(Duration took) {
			return this.samples >= MIN_SAMPLES && took.toNanos() > SLOW_FACTOR * this.meanNanos
					&& took.toNanos() - this.meanNanos > MIN_SLOW_DELAY.toNanos();
		}

	}

}
