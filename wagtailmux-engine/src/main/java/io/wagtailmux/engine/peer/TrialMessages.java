package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.decision.rollout.VersionComparison;
import io.wagtailmux.decision.rollout.VersionCounts;
import io.wagtailmux.engine.state.TrialReport;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.peer.wire.PingMessage;
import io.wagtailmux.peer.wire.TrialReportMessage;

/**
 * Converts reports on versions under trial to messages between instances and back.
 *
 * @author the wagtailmux developers
 */
public final class TrialMessages {

	private static final long NANOSECONDS_PER_MICROSECOND = 1000;

	private TrialMessages() {
	}

	/**
	 * Encodes reports.
	 * @param reports the reports
	 * @return a message for each report, in the same order
	 */
	public static List<TrialReportMessage> messages(List<TrialReport> reports) {
		return reports.stream().map(TrialMessages::message).toList();
	}

	/**
	 * Decodes the reports of an instance.
	 * @param ping the heartbeat message of the instance
	 * @return its reports; empty if the message contains none
	 */
	public static List<TrialReport> reports(PingMessage ping) {
		return Optional.ofNullable(ping.getTrials()).orElse(List.of()).stream().map(TrialMessages::report).toList();
	}

	private static TrialReportMessage message(TrialReport report) {
		VersionCounts tried = report.answers().tried();
		VersionCounts others = report.answers().others();
		return new TrialReportMessage(report.pool().value(), report.order().number(),
				report.age().toNanos() / NANOSECONDS_PER_MICROSECOND, report.stopped(), tried.good(), tried.bad(),
				others.good(), others.bad())
			.setOrderEra(report.order().era())
			.setTriedStreams(report.streams().tried().good())
			.setTriedSlowStreams(report.streams().tried().bad())
			.setOthersStreams(report.streams().others().good())
			.setOthersSlowStreams(report.streams().others().bad());
	}

	private static TrialReport report(TrialReportMessage message) {
		return new TrialReport(new PoolId(message.getPool()),
				new StoreVersion(message.getOrderEra(), message.getOrder()),
				Duration.ofNanos(message.getAgeMicroseconds() * NANOSECONDS_PER_MICROSECOND), message.isStopped(),
				new VersionComparison(new VersionCounts(message.getTriedGood(), message.getTriedBad()),
						new VersionCounts(message.getOthersGood(), message.getOthersBad())),
				new VersionComparison(new VersionCounts(message.getTriedStreams(), message.getTriedSlowStreams()),
						new VersionCounts(message.getOthersStreams(), message.getOthersSlowStreams())));
	}

}
