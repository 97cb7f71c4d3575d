package io.wagtailmux.engine.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.duty.ClockReading;
import io.wagtailmux.decision.duty.DutyPermit;
import io.wagtailmux.decision.duty.FencingToken;
import io.wagtailmux.decision.duty.FixedReport;
import io.wagtailmux.decision.duty.UsageCollection;
import io.wagtailmux.decision.duty.UsageReport;
import io.wagtailmux.decision.duty.UsageReports;
import io.wagtailmux.decision.duty.UsageStep;
import io.wagtailmux.decision.duty.UsageTiming;
import io.wagtailmux.engine.port.DutyCall;
import io.wagtailmux.engine.port.DutyErrorCode;
import io.wagtailmux.engine.port.DutyException;
import io.wagtailmux.engine.port.DutyReceiver;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowPage;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.ModelException;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.model.TimeSource;

/**
 * Writes and sends the usage reports of the holder of the duties. Confined to the control
 * thread.
 *
 * @author the wagtailmux developers
 */
final class UsageReporting {

	private static final Logger LOG = LoggerFactory.getLogger(UsageReporting.class);

	private static final String TABLE = "usage";

	private final InstanceId self;

	private final UsageTiming timing;

	private final UsageCollection collection;

	private final UsageReports reports;

	private final RowStore store;

	private final DutyReceiver receiver;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final DutyMetrics metrics;

	private final UnexpectedErrors errors;

	private Set<InstanceId> expected = Set.of();

	private Duration trueLessElapsed = Duration.ZERO;

	private boolean sending;

	UsageReporting(InstanceId self, UsageTiming timing, UsageCollection collection, RowStore store,
			DutyReceiver receiver, ScheduledExecutorService control, TimeSource time, DutyMetrics metrics,
			UnexpectedErrors errors) {
		this.self = self;
		this.timing = timing;
		this.collection = collection;
		this.reports = new UsageReports(timing, collection);
		this.store = store;
		this.receiver = receiver;
		this.control = control;
		this.time = time;
		this.metrics = metrics;
		this.errors = errors;
	}

	/**
	 * Returns whether a report was sent whose answer has not arrived.
	 * @return whether a call is open
	 */
	boolean isSending() {
		return this.sending;
	}

	/**
	 * Takes the next step as the holder.
	 * @param permit the permission to act
	 * @param instances the instances that may be alive
	 * @param offset how far the true time is ahead of the elapsed time
	 */
	void advance(DutyPermit permit, Set<InstanceId> instances, Duration offset) {
		this.expected = instances;
		this.trueLessElapsed = offset;
		UsageStep step = this.reports.next(permit.token(), instances, this.time.elapsed(), sinceEpoch());
		if (step instanceof UsageStep.Read) {
			read(permit.token(), "", new ArrayList<>());
		}
		else if (step instanceof UsageStep.Fix fix) {
			fix(fix.report(), fix.expected());
		}
		else if (step instanceof UsageStep.Send send) {
			send(permit, send.report());
		}
	}

	/**
	 * Notes requests that an instance has told.
	 * @param window their window
	 * @param requests how many of them were not known before
	 */
	void onCounts(long window, long requests) {
		if (requests > 0 && this.reports.isFixed(window)) {
			this.metrics.recordLateCounts(requests);
		}
	}

	private Duration sinceEpoch() {
		return this.time.elapsed().plus(this.trueLessElapsed);
	}

	private void read(FencingToken token, String from, List<FixedReport> found) {
		this.store.read(TABLE, from).whenCompleteAsync((page, failure) -> this.errors.run("usage reports read", () -> {
			if (failure != null) {
				LOG.atWarn().addKeyValue("why", failure.getMessage()).log("could not read usage reports");
				this.reports.onFailed(this.time.elapsed());
				return;
			}
			page.rows().forEach((row) -> decode(row, found));
			if (page.more() && !page.rows().isEmpty()) {
				read(token, firstKeyAfter(page), found);
				return;
			}
			this.reports.onRead(token, found, page.version().era(), sinceEpoch());
		}), this.control);
	}

	private static String firstKeyAfter(RowPage page) {
		return page.rows().get(page.rows().size() - 1).key() + "\0";
	}

	private static void decode(StoredRow row, List<FixedReport> found) {
		try {
			found.add(new FixedReport(DutyMessages.report(row.value()), row.version()));
		}
		catch (ProtocolException | ModelException ex) {
			LOG.atWarn().addKeyValue("key", row.key()).addKeyValue("why", ex.getMessage()).log("usage not decoded");
			rowNumber(row)
				.ifPresent((number) -> found.add(new FixedReport(UsageReports.unreadable(number), row.version())));
		}
	}

	private static OptionalInt rowNumber(StoredRow row) {
		return row.key().matches("\\d{2}") ? OptionalInt.of(Integer.parseInt(row.key())) : OptionalInt.empty();
	}

	private static boolean isRejected(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		return cause instanceof DutyException duty && duty.code() == DutyErrorCode.REJECTED;
	}

	private void fix(UsageReport report, StoreVersion version) {
		boolean complete = this.collection.isComplete(report.window(), this.expected);
		String key = String.format("%02d", UsageReports.row(report.window()));
		this.store.write(TABLE, key, DutyMessages.encode(report), version)
			.whenCompleteAsync((written, failure) -> this.errors.run("usage report written", () -> {
				LOG.atInfo()
					.addKeyValue("window", report.window())
					.addKeyValue("requests", report.counts().values().stream().mapToLong(Long::longValue).sum())
					.addKeyValue("organisations", report.counts().size())
					.addKeyValue("complete", complete)
					.addKeyValue("sinceEndMs", sinceEpoch().minus(this.timing.end(report.window())).toMillis())
					.addKeyValue("outcome", (failure != null) ? failure.getMessage() : "row version " + written)
					.log("usage report written");
				if (failure != null) {
					this.reports.onFixFailed(report, this.time.elapsed());
					return;
				}
				this.metrics.recordFixed(complete);
				this.reports.onFixed(report, written);
			}), this.control);
	}

	private void send(DutyPermit permit, UsageReport report) {
		this.sending = true;
		DutyCall call = new DutyCall(this.self, permit.token(), () -> permit.holds(ClockReading.of(this.time)));
		this.receiver.reportUsage(call, report)
			.whenCompleteAsync((accepted, failure) -> this.errors.run("usage report sent", () -> {
				this.sending = false;
				Duration sinceEnd = sinceEpoch().minus(this.timing.end(report.window()));
				LOG.atInfo()
					.addKeyValue("window", report.window())
					.addKeyValue("token", permit.token())
					.addKeyValue("sinceEndMs", sinceEnd.toMillis())
					.addKeyValue("outcome", (failure != null) ? failure.getMessage() : "accepted")
					.log("usage report sent");
				this.metrics.recordReport(failure == null);
				if (failure != null) {
					this.reports.onFailed(this.time.elapsed());
					return;
				}
				if (sinceEnd.compareTo(this.timing.due()) > 0) {
					this.metrics.recordLateReport();
				}
				this.reports.onDelivered(report);
			}), this.control);
	}

}
