package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.StoreVersion;

/**
 * One instance's part in the lease on the duties. Answers when there is one holder at a
 * time although processes die, stand still or lose the store, although the receiver of
 * the calls does not check their token, and although answers of the store are lost.
 *
 * <p>
 * The holder writes the row of the lease again and again. It may act for a time that
 * begins when it <em>sends</em> a write which then succeeds; any other instance waits,
 * from when it first <em>reads</em> a version of the row, for a longer time without a new
 * version before it replaces the row. So no two instances may act at the same time,
 * whatever their clocks say of the time of day. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class DutyLease {

	private static final long FIRST_ERA = 1;

	private final DutyHolder self;

	private final LeaseTiming timing;

	private FencingToken highestHeard = FencingToken.NONE;

	private Optional<KnownRow> known = Optional.empty();

	private Optional<Tenure> tenure = Optional.empty();

	private Optional<Tenure> lastTenure = Optional.empty();

	private Optional<PlannedWrite> planned = Optional.empty();

	private Optional<SentWrite> sent = Optional.empty();

	private boolean reading;

	private boolean mustRead;

	private boolean releasing;

	/** Whether a write was sent that may still release the duties. */
	private boolean mayBeReleased;

	private long readEra;

	/** The era of the store in which this instance wrote the row last. */
	private long writeEra;

	private Duration nextRead = Duration.ZERO;

	/**
	 * Creates the part of an instance that knows nothing of the lease yet.
	 * @param self this process
	 * @param timing the times of the lease, the same for all instances
	 */
	public DutyLease(DutyHolder self, LeaseTiming timing) {
		this.self = self;
		this.timing = timing;
	}

	/**
	 * Returns what to do next. A read or write that is returned counts as begun; nothing
	 * further is returned until its outcome is passed in.
	 * @param now the clocks
	 * @param wish whether this instance should hold the duties
	 * @param callsOpen whether calls of this instance as the holder have no answer yet
	 * @return the next step
	 */
	public LeaseStep next(ClockReading now, LeaseWish wish, boolean callsOpen) {
		if (this.reading || this.sent.isPresent()) {
			return new LeaseStep.Wait();
		}
		dropExpired(now);
		this.releasing = wish == LeaseWish.RELEASE;
		if (this.tenure.isPresent()) {
			return nextAsHolder(now, this.tenure.get(), callsOpen);
		}
		if (wish != LeaseWish.TAKE) {
			this.known = Optional.empty();
			this.planned = Optional.empty();
			return new LeaseStep.Wait();
		}
		if (this.planned.isPresent()) {
			return write(this.planned.get().row(), this.planned.get().expected(), now);
		}
		return read(now);
	}

	private LeaseStep nextAsHolder(ClockReading now, Tenure held, boolean callsOpen) {
		if (this.mustRead) {
			return read(now);
		}
		if (this.releasing && !callsOpen) {
			this.mayBeReleased = true;
			return write(held.row().release(), held.version(), now);
		}
		Duration sinceRenewal = now.longestSince(held.provenAt());
		boolean due = sinceRenewal.compareTo(this.timing.renewalInterval()) >= 0;
		return due ? write(held.row(), held.version(), now) : new LeaseStep.Wait();
	}

	private LeaseStep read(ClockReading now) {
		if (now.elapsed().compareTo(this.nextRead) < 0) {
			return new LeaseStep.Wait();
		}
		this.reading = true;
		return new LeaseStep.Read();
	}

	private LeaseStep write(DutyLeaseRow row, StoreVersion expected, ClockReading now) {
		this.planned = Optional.empty();
		this.writeEra = this.readEra;
		this.sent = Optional.of(new SentWrite(row, expected, now));
		return new LeaseStep.Write(row, expected);
	}

	/**
	 * Accepts the row that was read.
	 * @param row the row; empty if there is none or if it cannot be decoded
	 * @param version the version of the row; {@link StoreVersion#NONE} if there is none
	 * @param era the era of the store
	 * @param now the clocks, after the answer has arrived
	 */
	public void onRead(Optional<DutyLeaseRow> row, StoreVersion version, long era, ClockReading now) {
		this.reading = false;
		this.mustRead = false;
		this.readEra = era;
		row.ifPresent((found) -> onTokenHeard(found.token()));
		KnownRow found = new KnownRow(version, era, now.elapsed());
		KnownRow first = this.known.filter(found::isSameAs).orElse(found);
		this.known = Optional.of(first);
		if (row.filter((held) -> isOwn(held, era)).isPresent()) {
			this.tenure = this.tenure.map((held) -> held.withVersion(version));
			this.planned = this.tenure.isPresent() ? Optional.empty()
					: Optional.of(new PlannedWrite(row.get(), version));
			return;
		}
		this.tenure = Optional.empty();
		Duration takeOverAt = first.since().plus(this.timing.length());
		if (isReleased(row, era) || now.elapsed().compareTo(takeOverAt) >= 0) {
			this.planned = Optional.of(new PlannedWrite(takeOverRow(row, era), version));
			return;
		}
		Duration soon = now.elapsed().plus(this.timing.renewalInterval());
		this.nextRead = (takeOverAt.compareTo(soon) < 0) ? takeOverAt : soon;
	}

	/**
	 * Returns whether the row is what this process wrote last. In another era it may be
	 * one of several that it wrote, from which other holders have taken over since.
	 * @param row the row
	 * @param era the era of the store
	 * @return whether no other instance has held the duties since
	 */
	private boolean isOwn(DutyLeaseRow row, long era) {
		return row.holder().equals(this.self) && !row.released() && era == this.writeEra;
	}

	/**
	 * Returns whether the duties may be taken without waiting. After a restore of the
	 * store a released row may be an old one.
	 * @param row the row
	 * @param era the era of the store
	 * @return whether the last holder has given them up
	 */
	private boolean isReleased(Optional<DutyLeaseRow> row, long era) {
		return era <= FIRST_ERA && row.filter((held) -> held.releasedTo(this.self.instance())).isPresent();
	}

	private DutyLeaseRow takeOverRow(Optional<DutyLeaseRow> row, long era) {
		FencingToken token = row.map(DutyLeaseRow::token).orElse(FencingToken.NONE).next(this.highestHeard, era);
		Optional<InstanceId> previous = row.map((held) -> held.holder().instance())
			.filter((held) -> !held.equals(this.self.instance()));
		return new DutyLeaseRow(this.self, token, false, previous);
	}

	/**
	 * Accepts that the row could not be read.
	 * @param now the clocks
	 */
	public void onReadFailed(ClockReading now) {
		this.reading = false;
		this.nextRead = now.elapsed().plus(this.timing.readRetryPause());
	}

	/**
	 * Accepts that the write has succeeded.
	 * @param version the new version of the row
	 * @param now the clocks
	 */
	public void onWritten(StoreVersion version, ClockReading now) {
		SentWrite write = this.sent.orElseThrow();
		this.sent = Optional.empty();
		onTokenHeard(write.row().token());
		this.mayBeReleased = write.row().released();
		if (this.mayBeReleased) {
			this.tenure = Optional.empty();
			this.known = Optional.empty();
			return;
		}
		ClockReading takenAt = this.tenure.or(() -> this.lastTenure)
			.filter((held) -> held.row().token().equals(write.row().token()))
			.map(Tenure::takenAt)
			.orElse(now);
		this.tenure = Optional.of(new Tenure(write.row(), version, takenAt, write.at()));
		this.lastTenure = this.tenure;
	}

	/**
	 * Accepts that the write failed, or that its outcome is unknown.
	 * @param conflict whether the row had another version than expected
	 * @param now the clocks
	 */
	public void onWriteFailed(boolean conflict, ClockReading now) {
		this.sent = Optional.empty();
		this.mustRead = true;
		this.nextRead = conflict ? now.elapsed() : now.elapsed().plus(this.timing.readRetryPause());
		if (conflict) {
			this.tenure = Optional.empty();
		}
	}

	/**
	 * Accepts a token that another instance knows.
	 * @param token the token
	 */
	public void onTokenHeard(FencingToken token) {
		this.highestHeard = this.highestHeard.max(token);
	}

	/**
	 * Returns the largest token that this instance knows.
	 * @return the token; {@link FencingToken#NONE} if it knows none
	 */
	public FencingToken highestKnown() {
		return this.highestHeard;
	}

	/**
	 * Returns the permission to make calls as the holder, which is to be checked again
	 * right before each call.
	 * @param now the clocks
	 * @return the permission; empty if this instance may make no calls now
	 */
	public Optional<DutyPermit> permit(ClockReading now) {
		if (this.releasing || this.mayBeReleased) {
			return Optional.empty();
		}
		return this.tenure.filter((held) -> hasSettled(held, now))
			.map((held) -> new DutyPermit(held.row().token(), held.provenAt(), this.timing.actingTime()))
			.filter((permit) -> permit.holds(now));
	}

	private boolean hasSettled(Tenure held, ClockReading now) {
		return now.elapsed().minus(held.takenAt().elapsed()).compareTo(this.timing.settling()) >= 0;
	}

	/**
	 * Returns this instance's token.
	 * @return the token; empty if it does not hold the duties
	 */
	public Optional<FencingToken> token() {
		return this.tenure.map((held) -> held.row().token());
	}

	/**
	 * Returns the age of the last renewal, for metrics.
	 * @param now the clocks
	 * @return the time since it was sent; zero if this instance does not hold the duties
	 */
	public Duration age(ClockReading now) {
		return this.tenure.map((held) -> now.longestSince(held.provenAt())).orElse(Duration.ZERO);
	}

	private void dropExpired(ClockReading now) {
		if (this.tenure.filter((held) -> now.longestSince(held.provenAt()).compareTo(this.timing.length()) >= 0)
			.isPresent()) {
			this.tenure = Optional.empty();
			this.mustRead = true;
		}
	}

	/**
	 * Version of the row that this instance has read.
	 *
	 * @param version the version
	 * @param era the era of the store, since a row that is missing has no version
	 * @param since the elapsed time at which this version was read first
	 */
	private record KnownRow(StoreVersion version, long era, Duration since) {

		boolean isSameAs(KnownRow other) {
			return this.version.equals(other.version) && this.era == other.era;
		}

	}

	/**
	 * Write that is due at the next step.
	 *
	 * @param row the contents
	 * @param expected the version that the row must have
	 */
	private record PlannedWrite(DutyLeaseRow row, StoreVersion expected) {

	}

	/**
	 * Write whose outcome is not known yet.
	 *
	 * @param row the contents
	 * @param expected the version that the row must have
	 * @param at the clocks when it was sent
	 */
	private record SentWrite(DutyLeaseRow row, StoreVersion expected, ClockReading at) {

	}

	/**
	 * The time for which this instance holds the duties under one token.
	 *
	 * @param row the contents of the row
	 * @param version the version of the row
	 * @param takenAt the clocks when the duties were taken
	 * @param provenAt the clocks when the last write that succeeded was sent
	 */
	private record Tenure(DutyLeaseRow row, StoreVersion version, ClockReading takenAt, ClockReading provenAt) {

		Tenure withVersion(StoreVersion newVersion) {
			return new Tenure(this.row, newVersion, this.takenAt, this.provenAt);
		}

	}

}
