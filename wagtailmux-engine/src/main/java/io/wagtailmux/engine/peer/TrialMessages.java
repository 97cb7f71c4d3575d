package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.decision.rollout.VersionCounts;
import io.wagtailmux.engine.state.TrialReport;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.PingMessage;
import io.wagtailmux.peer.wire.TrialReportMessage;

/**
 * Turns reports on versions under trial into messages and back.
 *
 * @author the wagtailmux developers
 */
public final class TrialMessages {

	private static final long NANOSECONDS = 1000;

	private TrialMessages() {
	}

	/**
	 * Encodes reports.
	 * @param reports the reports
	 * @return a message for each
	 */
	public static List<TrialReportMessage> messages(List<TrialReport> reports) {
		return reports.stream().map(TrialMessages::message).toList();
	}

	/**
	 * Decodes the reports of an instance.
	 * @param ping what the instance said
	 * @return its reports
	 */
	public static List<TrialReport> reports(PingMessage ping) {
		return Optional.ofNullable(ping.getTrials()).orElse(List.of()).stream().map(TrialMessages::report).toList();
	}

	private static TrialReportMessage message(TrialReport report) {
		return new TrialReportMessage(report.pool().value(), report.order(), report.age().toNanos() / NANOSECONDS,
				report.stopped(), report.tried().good(), report.tried().bad(), report.others().good(),
				report.others().bad());
	}

	private static TrialReport report(TrialReportMessage message) {
		return new TrialReport(new PoolId(message.getPool()), message.getOrder(),
				Duration.ofNanos(message.getAgeMicroseconds() * NANOSECONDS), message.isStopped(),
				new VersionCounts(message.getTriedGood(), message.getTriedBad()),
				new VersionCounts(message.getOthersGood(), message.getOthersBad()));
	}

}
