package io.wagtailmux.decision.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What one instance saw of the answers of a version that is tried and of those before it.
 *
 * <p>
 * Times are compared route by route with those of the versions before, since a version
 * may be slow on one route only. It has a single owner.
 *
 * @author the wagtailmux developers
 */
public final class VersionEvidence {

	/** How many times the usual time counts as slow. */
	private static final int SLOW_FACTOR = 3;

	/** Below this, a delay says nothing about the version. */
	private static final Duration LEAST_DELAY = Duration.ofMillis(50);

	private final Map<String, UsualTime> usualTimes = new HashMap<>();

	private VersionCounts tried = VersionCounts.NONE;

	private VersionCounts others = VersionCounts.NONE;

	/**
	 * Takes an answer.
	 * @param byTried whether the version that is tried gave it
	 * @param route the route of the request
	 * @param success whether it was no failure
	 * @param took the time to the answer, or to a stream's first event
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
	 * Takes note of a call that was given up without an answer. It counts only if it had
	 * lasted for longer than an answer takes.
	 * @param byTried whether it went to the version that is tried
	 * @param route the route of the request
	 * @param lasted the time that it was waited for
	 */
	public void recordAbandonedCall(boolean byTried, String route, Duration lasted) {
		UsualTime usual = this.usualTimes.get(route);
		if (usual != null && usual.exceededBy(lasted)) {
			recordAnswer(byTried, route, false, lasted);
		}
	}

	/**
	 * Returns the answers of the version that is tried.
	 * @return the counts since the order
	 */
	public VersionCounts tried() {
		return this.tried;
	}

	/**
	 * Returns the answers of the versions before it.
	 * @return the counts since the order
	 */
	public VersionCounts others() {
		return this.others;
	}

	/**
	 * How long the versions before take on one route.
	 */
	private static final class UsualTime {

		private static final double GAIN = 0.1;

		private static final int LEAST_SAMPLES = 5;

		private double meanNanos;

		private int samples;

		void add(Duration took) {
			this.samples++;
			double gain = Math.max(GAIN, 1.0 / this.samples);
			this.meanNanos += gain * (took.toNanos() - this.meanNanos);
		}

		boolean exceededBy(Duration took) {
			return this.samples >= LEAST_SAMPLES && took.toNanos() > SLOW_FACTOR * this.meanNanos
					&& took.toNanos() - this.meanNanos > LEAST_DELAY.toNanos();
		}

	}

}
