package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.wagtailmux.decision.ownership.PoolShard;

/**
 * Expected waits at the shards of other owners, as they last reported them for pieces of
 * each priority. A report gets smaller with its age: the queue that it describes is being
 * worked off, and an instance that sends no work to a shard gets no newer report on it.
 * Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class ReportedWaits {

	private final Map<Pieces, Report> reports = new HashMap<>();

	/**
	 * Accepts a report, which replaces the earlier one.
	 * @param shard the shard
	 * @param priority the priority of the pieces
	 * @param expected the expected wait of such a piece
	 * @param now the elapsed time
	 */
	public void report(PoolShard shard, int priority, ExpectedWait expected, Duration now) {
		this.reports.put(new Pieces(shard, priority), new Report(expected, now));
	}

	/**
	 * Returns the expected wait at a shard.
	 * @param shard the shard
	 * @param priority the priority of the pieces
	 * @param now the elapsed time
	 * @return the reported wait less the time since; none if there is no report
	 */
	public ExpectedWait expectedWait(PoolShard shard, int priority, Duration now) {
		Report report = this.reports.get(new Pieces(shard, priority));
		return (report != null) ? report.expected().after(now.minus(report.at())) : ExpectedWait.NONE;
	}

	private record Pieces(PoolShard shard, int priority) {

	}

	private record Report(ExpectedWait expected, Duration at) {

	}

}
