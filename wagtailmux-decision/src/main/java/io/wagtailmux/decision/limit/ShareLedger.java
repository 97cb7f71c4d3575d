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
 * The limiter's account of one endpoint: what it bears and who may have how many calls in
 * flight there.
 *
 * <p>
 * What is granted and not yet given back, and the floors of a proven endpoint, never add
 * up to more than the limit. A grant counts until the instance reports a smaller one, or
 * until it has expired and the longest call that may have been started under it has
 * ended. A run of the endpoint's process starts at the contract's cold limit, which
 * doubles with good answers and falls back on a failure, until it reaches the warm limit;
 * from then on the run is proven. Not safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class ShareLedger {

	/** How long a grant holds. */
	public static final Duration GRANT_LIFETIME = Duration.ofSeconds(3);

	private static final int MOST_FAILURES = 3;

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

	private boolean suspect;

	/**
	 * Opens the account.
	 * @param endpoint the endpoint
	 * @param contract what it bears
	 * @param longestCall how long a call may be in flight
	 * @param grantsFrom when what an earlier limiter granted has ended, as elapsed time
	 */
	public ShareLedger(EndpointId endpoint, Contract contract, Duration longestCall, Duration grantsFrom) {
		this.endpoint = endpoint;
		this.contract = contract;
		this.longestCall = longestCall;
		this.grantsFrom = grantsFrom;
	}

	/**
	 * Takes the run of the endpoint's process that was found. Another run than before is
	 * cold, and what was granted for the run before cannot reach it.
	 * @param found the run
	 */
	public void onBoot(BootId found) {
		if (!this.boot.equals(Optional.of(found))) {
			this.boot = Optional.of(found);
			this.entries.clear();
			this.proven = false;
			fallToCold();
		}
	}

	/**
	 * Takes it that a run was proven under an earlier limiter.
	 * @param run the run that was recorded as proven
	 */
	public void markProven(BootId run) {
		if (this.boot.equals(Optional.of(run)) && !this.suspect) {
			this.proven = true;
			this.limit = this.contract.warmLimit();
		}
	}

	/**
	 * Takes a report and decides on the instance's grant.
	 * @param report the report
	 * @param now the elapsed time
	 * @return the grant, or nothing while no run of the endpoint's process is known
	 */
	public Optional<ShareGrant> grant(ShareReport report, Duration now) {
		if (this.boot.isEmpty()) {
			return Optional.empty();
		}
		boolean about = report.isAbout(this.boot.get());
		if (about) {
			learn(report);
		}
		this.entries.values().removeIf((entry) -> entry.heldUntil.compareTo(now) < 0);
		Entry entry = this.entries.computeIfAbsent(report.instance(), (id) -> new Entry());
		entry.wanted = report.wanted();
		int held = about ? Math.max(report.granted(), report.inFlight()) : 0;
		entry.outstanding = held;
		int units = (now.compareTo(this.grantsFrom) < 0) ? 0 : Math.min(fairPart(report.instance()), free(entry));
		entry.outstanding = Math.max(held, units);
		entry.heldUntil = now.plus(GRANT_LIFETIME).plus(this.longestCall);
		return Optional.of(new ShareGrant(this.endpoint, this.boot.get(), this.proven, units, GRANT_LIFETIME));
	}

	/**
	 * Returns the run of the endpoint's process that is waiting for its proof to be
	 * recorded.
	 * @return the run, or nothing if it is still warming up or its proof is recorded
	 */
	public Optional<BootId> pendingProof() {
		boolean warm = this.limit >= this.contract.warmLimit() && !this.proven;
		return warm ? this.boot : Optional.empty();
	}

	/**
	 * Returns what the endpoint bears now.
	 * @return calls in flight from all instances
	 */
	public int limit() {
		return this.limit;
	}

	/**
	 * Returns the run of the endpoint's process.
	 * @return the run, if one was found
	 */
	public Optional<BootId> boot() {
		return this.boot;
	}

	/**
	 * Returns what is granted and not given back.
	 * @return calls that instances may have in flight above their floors
	 */
	public int outstanding() {
		return this.entries.values().stream().mapToInt((entry) -> entry.outstanding).sum();
	}

	private void learn(ShareReport report) {
		if (report.failures() > 0) {
			this.failures += report.failures();
			this.goodAnswers = 0;
			if (!this.proven || this.failures >= MOST_FAILURES) {
				this.suspect |= this.proven;
				this.proven = false;
				fallToCold();
			}
			return;
		}
		if (report.goodAnswers() > 0) {
			this.failures = 0;
			this.goodAnswers += report.goodAnswers();
			grow();
		}
	}

	private void grow() {
		while (this.limit < this.contract.warmLimit() && this.goodAnswers >= this.contract.warmAfter()) {
			this.goodAnswers -= this.contract.warmAfter();
			this.limit = Math.min(this.contract.warmLimit(), this.limit * 2);
		}
		this.suspect &= this.limit < this.contract.warmLimit();
	}

	private void fallToCold() {
		this.limit = this.contract.coldLimit();
		this.goodAnswers = 0;
		this.failures = 0;
	}

	private int grantable() {
		int floors = (this.proven || this.pendingProof().isPresent()) ? SlotMap.floorUnits(this.contract) : 0;
		return Math.max(0, this.limit - floors);
	}

	private int free(Entry own) {
		return Math.max(0, grantable() - (outstanding() - own.outstanding));
	}

	// Splits the grantable units so that nobody gets more than it wants and nobody who
	// wants
	// more gets less than another by more than one.
	private int fairPart(InstanceId instance) {
		int left = grantable();
		SortedMap<InstanceId, Integer> parts = new TreeMap<>();
		boolean given = true;
		while (left > 0 && given) {
			given = false;
			for (var candidate : this.entries.entrySet()) {
				int part = parts.getOrDefault(candidate.getKey(), 0);
				if (left > 0 && part < candidate.getValue().wanted) {
					parts.put(candidate.getKey(), part + 1);
					left--;
					given = true;
				}
			}
		}
		return parts.getOrDefault(instance, 0);
	}

	/**
	 * What one instance was granted.
	 */
	private static final class Entry {

		private int wanted;

		private int outstanding;

		private Duration heldUntil = Duration.ZERO;

	}

}
