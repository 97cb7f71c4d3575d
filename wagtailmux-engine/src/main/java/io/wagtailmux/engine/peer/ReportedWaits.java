package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.wagtailmux.decision.ownership.PoolShard;

/**
 * Expected waits at the shards of other owners, as they last reported them. A report gets
 * smaller with its age: the queue that it describes is being worked off, and an instance
 * that sends no work to a shard gets no newer report on it. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
final class ReportedWaits {

	private final Map<PoolShard, Report> reports = new HashMap<>();

	void report(PoolShard shard, Duration expected, Duration now) {
		this.reports.put(shard, new Report(expected, now));
	}

	/**
	 * Returns the expected wait at a shard.
	 * @param shard the shard
	 * @param now the elapsed time
	 * @return the reported wait less the time since; zero if there is no report
	 */
	Duration expectedWait(PoolShard shard, Duration now) {
		Report report = this.reports.get(shard);
		if (report == null) {
			return Duration.ZERO;
		}
		Duration remaining = report.expected().minus(now.minus(report.at()));
		return remaining.isNegative() ? Duration.ZERO : remaining;
	}

	private record Report(Duration expected, Duration at) {

	}

}
