package io.wagtailmux.decision.share;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.model.InstanceId;

/**
 * Divides a limit for all instances by what each has to send. Not thread-safe.
 *
 * <p>
 * Instances report their demand to each other. An instance that may be alive but has not
 * reported counts with the mean of the others, so that an instance that reaches nobody
 * uses about the same part as if all were alike.
 *
 * @author the wagtailmux developers
 */
public final class DemandShares {

	/** Older reports are dropped; their instances count with the mean if they live. */
	private static final Duration REPORT_LIFETIME = Duration.ofSeconds(20);

	/** Time for which a sum of the reports is used without computing it again. */
	private static final Duration SUM_LIFETIME = Duration.ofMillis(200);

	private final Map<InstanceId, Report> reports = new HashMap<>();

	private Duration summedAt = SUM_LIFETIME.negated();

	private int summedFor;

	private int reporting;

	private double reported;

	/**
	 * Records the demand of another instance.
	 * @param instance the other instance
	 * @param perSecond the requests per second that it has to send
	 * @param now the elapsed time
	 */
	public void report(InstanceId instance, double perSecond, Duration now) {
		this.reports.put(instance, new Report(perSecond, now));
	}

	/**
	 * Returns the part of a limit that this instance may use.
	 * @param own the requests per second that this instance has to send
	 * @param instances the number of instances that may be alive, this one included
	 * @param now the elapsed time
	 * @return the part, from zero to one; zero if this instance has nothing to send
	 */
	public double fraction(double own, int instances, Duration now) {
		if (own <= 0) {
			return 0;
		}
		if (instances != this.summedFor || now.minus(this.summedAt).compareTo(SUM_LIFETIME) >= 0) {
			sumReports(instances, now);
		}
		double known = own + this.reported;
		double mean = known / (this.reporting + 1);
		int missing = Math.max(0, instances - 1 - this.reporting);
		return own / (known + missing * Math.max(own, mean));
	}

	private void sumReports(int instances, Duration now) {
		this.reports.values().removeIf((report) -> now.minus(report.at).compareTo(REPORT_LIFETIME) > 0);
		List<Report> newest = this.reports.values()
			.stream()
			.sorted(Comparator.comparing(Report::at).reversed())
			.limit(Math.max(0, instances - 1))
			.toList();
		this.summedAt = now;
		this.summedFor = instances;
		this.reporting = newest.size();
		this.reported = newest.stream().mapToDouble(Report::perSecond).sum();
	}

	private record Report(double perSecond, Duration at) {

	}

}
