package io.wagtailmux.engine.duty;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.duty.ClockReading;
import io.wagtailmux.decision.duty.DutyLease;
import io.wagtailmux.decision.duty.DutyLeaseRow;
import io.wagtailmux.decision.duty.DutyPermit;
import io.wagtailmux.decision.duty.FencingToken;
import io.wagtailmux.decision.duty.LeaseStep;
import io.wagtailmux.decision.duty.LeaseWish;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowPage;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoreErrorCode;
import io.wagtailmux.engine.port.StoreException;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.ModelException;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.model.TimeSource;

/**
 * Reads and writes the row of the lease on the duties as {@link DutyLease} decides.
 * Confined to the control thread.
 *
 * @author the wagtailmux developers
 */
final class LeaseKeeper {

	private static final Logger LOG = LoggerFactory.getLogger(LeaseKeeper.class);

	private static final String TABLE = "duties";

	private static final String KEY = "lease";

	private final DutyLease lease;

	private final RowStore store;

	private final FitnessForDuties fitness;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final UnexpectedErrors errors;

	private Optional<FencingToken> loggedToken = Optional.empty();

	LeaseKeeper(DutyLease lease, RowStore store, FitnessForDuties fitness, ScheduledExecutorService control,
			TimeSource time, UnexpectedErrors errors) {
		this.lease = lease;
		this.store = store;
		this.fitness = fitness;
		this.control = control;
		this.time = time;
		this.errors = errors;
	}

	/**
	 * Takes the next step.
	 * @param now the clocks
	 * @param wish whether this instance should hold the duties
	 * @param callsOpen whether calls of this instance as the holder have no answer yet
	 */
	void advance(ClockReading now, LeaseWish wish, boolean callsOpen) {
		LeaseStep step = this.lease.next(now, wish, callsOpen);
		if (step instanceof LeaseStep.Read) {
			this.store.read(TABLE, KEY)
				.whenCompleteAsync(
						(page, failure) -> this.errors.run("lease of the duties read", () -> onRead(page, failure)),
						this.control);
		}
		else if (step instanceof LeaseStep.Write write) {
			this.store.write(TABLE, KEY, DutyMessages.encode(write.row()), write.expected())
				.whenCompleteAsync((version, failure) -> this.errors.run("lease of the duties written",
						() -> onWritten(write.row(), version, failure)), this.control);
		}
		logHolder(now);
	}

	Optional<DutyPermit> permit(ClockReading now) {
		return this.lease.permit(now);
	}

	Optional<FencingToken> token() {
		return this.lease.token();
	}

	Duration age(ClockReading now) {
		return this.lease.age(now);
	}

	FencingToken highestKnown() {
		return this.lease.highestKnown();
	}

	void onTokenHeard(FencingToken token) {
		this.lease.onTokenHeard(token);
	}

	private void onRead(RowPage page, Throwable failure) {
		ClockReading now = ClockReading.of(this.time);
		if (failure != null) {
			LOG.atWarn().addKeyValue("why", failure.getMessage()).log("could not read the lease of the duties");
			this.fitness.onStoreFailure();
			this.lease.onReadFailed(now);
			return;
		}
		Optional<StoredRow> row = page.rows().stream().filter((found) -> found.key().equals(KEY)).findFirst();
		this.lease.onRead(row.flatMap(LeaseKeeper::decode), row.map(StoredRow::version).orElse(StoreVersion.NONE),
				page.version().era(), now);
	}

	private static Optional<DutyLeaseRow> decode(StoredRow row) {
		try {
			return Optional.of(DutyMessages.lease(row.value()));
		}
		catch (ProtocolException | ModelException ex) {
			LOG.atWarn().addKeyValue("why", ex.getMessage()).log("lease of the duties not decoded");
			return Optional.empty();
		}
	}

	private void onWritten(DutyLeaseRow row, StoreVersion version, Throwable failure) {
		ClockReading now = ClockReading.of(this.time);
		if (failure == null) {
			this.lease.onWritten(version, now);
			return;
		}
		LOG.atWarn()
			.addKeyValue("token", row.token())
			.addKeyValue("released", row.released())
			.addKeyValue("why", failure.getMessage())
			.log("could not write the lease of the duties");
		if (!isConflict(failure)) {
			this.fitness.onStoreFailure();
		}
		this.lease.onWriteFailed(isConflict(failure), now);
	}

	private static boolean isConflict(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		return cause instanceof StoreException store && store.code() == StoreErrorCode.CONFLICT;
	}

	private void logHolder(ClockReading now) {
		Optional<FencingToken> token = this.lease.token();
		if (token.equals(this.loggedToken)) {
			return;
		}
		this.loggedToken = token;
		LOG.atInfo()
			.addKeyValue("held", token.isPresent())
			.addKeyValue("token", this.lease.highestKnown())
			.addKeyValue("ageMs", this.lease.age(now).toMillis())
			.log("duties changed");
	}

}
