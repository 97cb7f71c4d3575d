package io.wagtailmux.decision.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;

/**
 * The limiter's state for one endpoint: the concurrency limit of the endpoint and the
 * grants of all instances. The limiter is the instance that holds the endpoint's limiter
 * slot (see {@link SlotMap}).
 *
 * <p>
 * The outstanding grants and the floors of a proven endpoint never add up to more than
 * the limit. A grant is outstanding until the instance reports a smaller one, or until it
 * has expired and the longest call that may have been started under it has ended. An
 * incarnation of the endpoint's process starts at the contract's cold limit. The limit
 * doubles after every {@link Contract#warmAfter()} good answers and is reset to the cold
 * limit by a failure. Once it has reached the warm limit and this is recorded in the
 * table, the incarnation is proven; then only three failures without a report of good
 * answers in between reset the limit. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class ShareLedger {

	/** How long a grant is valid, counted from when the instance requested it. */
	public static final Duration GRANT_LIFETIME = Duration.ofSeconds(3);

	/**
	 * This many failed calls reset a proven endpoint; a report of good answers without
	 * failures restarts the count.
	 */
	private static final int MAXIMUM_FAILURES = 3;

	private final SortedMap<InstanceId, Entry> entries = new TreeMap<>();

	private final EndpointId endpoint;

	private final Contract contract;

	private final Duration longestCall;

	private final Duration grantsFrom;

	private Optional<BootId> boot = Optional.empty();

	private int limit;

	private int goodAnswers;

	private int failures;

	private boolean proven;

	/**
	 * Whether failures reset a proven incarnation and the limit has not been warm since.
	 */
	private boolean suspect;

	/**
	 * Creates the state of an endpoint without a known incarnation.
	 * @param endpoint the endpoint
	 * @param contract the limits of the endpoint
	 * @param longestCall the longest time for which a call may be in flight
	 * @param grantsFrom when all grants of an earlier limiter and the calls started under
	 * them have ended, as elapsed time; until then every grant is of zero units
	 */
	public ShareLedger(EndpointId endpoint, Contract contract, Duration longestCall, Duration grantsFrom) {
		this.endpoint = endpoint;
		this.contract = contract;
		this.longestCall = longestCall;
		this.grantsFrom = grantsFrom;
	}

	/**
	 * Updates the incarnation of the endpoint's process. A new incarnation starts at the
	 * cold limit without outstanding grants, since calls under the grants of the previous
	 * one cannot reach it.
	 * @param current the incarnation that a probe found
	 */
	public void onBoot(BootId current) {
		if (!this.boot.equals(Optional.of(current))) {
			this.boot = Optional.of(current);
			this.entries.clear();
			this.proven = false;
			resetToCold();
		}
	}

	/**
	 * Marks an incarnation as proven because the table records that it has reached its
	 * warm limit, possibly under an earlier limiter. Has no effect if it is not the
	 * current one, or if a proven incarnation was reset by failures and the limit has not
	 * reached the warm limit since.
	 * @param recorded the incarnation that was recorded as proven
	 */
	public void markProven(BootId recorded) {
		if (this.boot.equals(Optional.of(recorded)) && !this.suspect) {
			this.proven = true;
			this.limit = this.contract.warmLimit();
		}
	}

	/**
	 * Applies an instance's report and decides its grant.
	 * @param report the report; its figures are ignored, except for {@code wanted}, if
	 * they refer to another incarnation
	 * @param now the elapsed time
	 * @return the grant, or empty while no incarnation of the endpoint's process is known
	 */
	public Optional<ShareGrant> grant(ShareReport report, Duration now) {
		if (this.boot.isEmpty()) {
			return Optional.empty();
		}
		boolean isCurrent = report.isAbout(this.boot.get());
		if (isCurrent) {
			applyCounts(report);
		}
		this.entries.values().removeIf((entry) -> entry.outstandingUntil.compareTo(now) < 0);
		Entry entry = this.entries.computeIfAbsent(report.instance(), (id) -> new Entry());
		entry.wanted = report.wanted();
		int held = isCurrent ? Math.max(report.granted(), report.inFlight()) : 0;
		entry.outstanding = held;
		int units = (now.compareTo(this.grantsFrom) < 0) ? 0 : Math.min(fairShare(report.instance()), available(entry));
		entry.outstanding = Math.max(held, units);
		entry.outstandingUntil = now.plus(GRANT_LIFETIME).plus(this.longestCall);
		return Optional.of(new ShareGrant(this.endpoint, this.boot.get(), this.proven, units, GRANT_LIFETIME));
	}

	/**
	 * Returns the current incarnation if it has reached the warm limit and is not yet
	 * marked as proven, so that its proof has to be recorded.
	 * @return the incarnation, or empty if it is still warming up or is marked as proven
	 */
	public Optional<BootId> pendingProof() {
		boolean warm = this.limit >= this.contract.warmLimit() && !this.proven;
		return warm ? this.boot : Optional.empty();
	}

	/**
	 * Returns the current concurrency limit of the endpoint.
	 * @return the number of calls that all instances together may have in flight; zero
	 * while no incarnation is known
	 */
	public int limit() {
		return this.limit;
	}

	/**
	 * Returns the current incarnation of the endpoint's process.
	 * @return the incarnation, or empty if none was found yet
	 */
	public Optional<BootId> boot() {
		return this.boot;
	}

	/**
	 * Returns the sum of the outstanding grants.
	 * @return the number of calls that instances may have in flight above their floors
	 */
	public int outstanding() {
		return this.entries.values().stream().mapToInt((entry) -> entry.outstanding).sum();
	}

	private void applyCounts(ShareReport report) {
		if (report.failures() > 0) {
			this.failures += report.failures();
			this.goodAnswers = 0;
			if (!this.proven || this.failures >= MAXIMUM_FAILURES) {
				this.suspect |= this.proven;
				this.proven = false;
				resetToCold();
			}
			return;
		}
		if (report.goodAnswers() > 0) {
			this.failures = 0;
			this.goodAnswers += report.goodAnswers();
			raiseLimit();
		}
	}

	private void raiseLimit() {
		while (this.limit < this.contract.warmLimit() && this.goodAnswers >= this.contract.warmAfter()) {
			this.goodAnswers -= this.contract.warmAfter();
			this.limit = Math.min(this.contract.warmLimit(), this.limit * 2);
		}
		this.suspect &= this.limit < this.contract.warmLimit();
	}

	private void resetToCold() {
		this.limit = this.contract.coldLimit();
		this.goodAnswers = 0;
		this.failures = 0;
	}

	private int grantable() {
		int floors = (this.proven || this.pendingProof().isPresent()) ? SlotMap.floorUnits(this.contract) : 0;
		return Math.max(0, this.limit - floors);
	}

	private int available(Entry own) {
		return Math.max(0, grantable() - (outstanding() - own.outstanding));
	}

	// Divides the grantable units by max-min fairness: no instance gets more than it
	// wants, and an instance that wants more gets at most one unit less than any other.
	private int fairShare(InstanceId instance) {
		int remaining = grantable();
		SortedMap<InstanceId, Integer> parts = new TreeMap<>();
		boolean given = true;
		while (remaining > 0 && given) {
			given = false;
			for (var candidate : this.entries.entrySet()) {
				int part = parts.getOrDefault(candidate.getKey(), 0);
				if (remaining > 0 && part < candidate.getValue().wanted) {
					parts.put(candidate.getKey(), part + 1);
					remaining--;
					given = true;
				}
			}
		}
		return parts.getOrDefault(instance, 0);
	}

	/**
	 * The outstanding grant of one instance.
	 */
	private static final class Entry {

		private int wanted;

		private int outstanding;

		private Duration outstandingUntil = Duration.ZERO;

	}

}
