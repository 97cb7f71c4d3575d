package io.wagtailmux.decision.estimate;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * How long work takes at an endpoint, as a multiple of the usual time, from what the
 * endpoint states. Answers when some endpoints of a pool are always slower than others,
 * and when neighbours slow an endpoint for a fraction of a second. Not thread-safe.
 *
 * <p>
 * Neighbours only slow an endpoint, so that the lowest statement of the recent past is
 * what lasts. A statement above it counts the less the older it is.
 *
 * @author the wagtailmux developers
 */
public final class EndpointSpeed {

	/** Multiple of an endpoint that states nothing. */
	private static final double USUAL = 1;

	private static final double SMALLEST = 0.1;

	private static final double LARGEST = 10;

	/** The lowest statement is sought among those of this time and the one before it. */
	private static final Duration PERIOD = Duration.ofSeconds(10);

	/** Disturbances by neighbours last a fraction of a second. */
	private static final Duration HALF_LIFE = Duration.ofMillis(150);

	private double lowestNow = Double.POSITIVE_INFINITY;

	private double lowestBefore = Double.POSITIVE_INFINITY;

	private Duration periodBegan = Duration.ZERO;

	private double latest = USUAL;

	private Duration latestAt = Duration.ZERO;

	/**
	 * Returns whether a multiple is one that an endpoint may state.
	 * @param multiple the multiple of the usual time
	 * @return whether it is between a tenth and ten
	 */
	public static boolean isCredible(double multiple) {
		return multiple >= SMALLEST && multiple <= LARGEST;
	}

	/**
	 * Accepts a statement of the endpoint; one that is not credible is ignored.
	 * @param multiple the multiple of the usual time
	 * @param now the elapsed time
	 */
	public void onStated(double multiple, Duration now) {
		if (!isCredible(multiple)) {
			return;
		}
		onHeard(multiple, now);
		this.latest = multiple;
		this.latestAt = now;
	}

	/**
	 * Accepts a statement that another instance has seen, which is too old to tell what
	 * neighbours do at present.
	 * @param multiple the multiple of the usual time
	 * @param now the elapsed time
	 */
	public void onHeard(double multiple, Duration now) {
		if (!isCredible(multiple)) {
			return;
		}
		shiftPeriods(now);
		this.lowestNow = Math.min(this.lowestNow, multiple);
	}

	/**
	 * Returns the multiple that lasts.
	 * @param now the elapsed time
	 * @return the lowest that was stated or heard lately; empty if there was none
	 */
	public OptionalDouble lasting(Duration now) {
		shiftPeriods(now);
		double lowest = Math.min(this.lowestNow, this.lowestBefore);
		return Double.isInfinite(lowest) ? OptionalDouble.empty() : OptionalDouble.of(lowest);
	}

	/**
	 * Returns the multiple to expect now.
	 * @param now the elapsed time
	 * @return the one that lasts, moved towards the last statement the more recent that
	 * is
	 */
	public double present(Duration now) {
		double lasting = lasting(now).orElse(USUAL);
		double age = Math.max(0, now.minus(this.latestAt).toNanos());
		double weight = Math.pow(0.5, age / HALF_LIFE.toNanos());
		return lasting + (Math.max(lasting, this.latest) - lasting) * weight;
	}

	private void shiftPeriods(Duration now) {
		Duration age = now.minus(this.periodBegan);
		if (age.compareTo(PERIOD) < 0) {
			return;
		}
		boolean adjacent = age.compareTo(PERIOD.multipliedBy(2)) < 0;
		this.lowestBefore = adjacent ? this.lowestNow : Double.POSITIVE_INFINITY;
		this.lowestNow = Double.POSITIVE_INFINITY;
		this.periodBegan = adjacent ? this.periodBegan.plus(PERIOD) : now;
	}

}
