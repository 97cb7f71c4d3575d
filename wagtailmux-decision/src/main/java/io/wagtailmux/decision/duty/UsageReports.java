package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.StoreVersion;

/**
 * Decides, for the holder of the duties, what is reported on each window and when.
 * Answers when holders change while reports are written and sent: a report is fixed in
 * the store before it is sent for the first time, and whoever sends it again sends the
 * same. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class UsageReports {

	/**
	 * Number of rows, more than windows are kept; a window uses the row of its number
	 * modulo this.
	 */
	private static final int ROWS = 16;

	private static final Duration SHORTEST_PAUSE = Duration.ofMillis(250);

	private static final int MAXIMUM_DOUBLINGS = 4;

	private final UsageTiming timing;

	private final UsageCollection collection;

	private final Map<Integer, FixedReport> rows = new HashMap<>();

	private final Map<Long, UsageReport> fixedHere = new HashMap<>();

	private final Set<Long> sent = new HashSet<>();

	private final Set<Long> delivered = new HashSet<>();

	private Optional<FencingToken> readUnder = Optional.empty();

	private long era;

	private Duration eraBegan = Duration.ZERO;

	private boolean callOpen;

	private int failures;

	private Duration pauseUntil = Duration.ZERO;

	/**
	 * Creates the reports of an instance that has not read the fixed ones yet.
	 * @param timing the windows
	 * @param collection the counts that are reported
	 */
	public UsageReports(UsageTiming timing, UsageCollection collection) {
		this.timing = timing;
		this.collection = collection;
	}

	/**
	 * Returns the row of a window.
	 * @param window the window
	 * @return the number of the row, from zero
	 */
	public static int row(long window) {
		return Math.floorMod(window, ROWS);
	}

	/**
	 * Returns what stands for the contents of a row that cannot be decoded: a report on a
	 * window long past, so that the next window of the row replaces it.
	 * @param row the number of the row
	 * @return the report
	 */
	public static UsageReport unreadable(int row) {
		return new UsageReport(row - (long) ROWS, Map.of());
	}

	/**
	 * Returns what to do next as the holder. What is returned counts as begun; nothing
	 * further is returned until its outcome is passed in.
	 * @param token the token of the holder
	 * @param expected the instances that may be alive
	 * @param elapsed the elapsed time
	 * @param sinceEpoch the true time since the start of 1970
	 * @return the next step
	 */
	public UsageStep next(FencingToken token, Set<InstanceId> expected, Duration elapsed, Duration sinceEpoch) {
		if (this.callOpen || elapsed.compareTo(this.pauseUntil) < 0) {
			return new UsageStep.Wait();
		}
		if (!this.readUnder.equals(Optional.of(token))) {
			return begin(new UsageStep.Read());
		}
		Optional<UsageReport> unsent = this.rows.values()
			.stream()
			.map(FixedReport::report)
			.filter((report) -> !this.delivered.contains(report.window()))
			.filter((report) -> !this.timing.isPast(report.window(), sinceEpoch))
			.min(Comparator.comparingLong(UsageReport::window));
		if (unsent.isPresent()) {
			this.sent.add(unsent.get().window());
			return begin(new UsageStep.Send(unsent.get()));
		}
		return this.collection.windows()
			.stream()
			.filter((window) -> isUnfixed(window) && mayBeFixed(window, sinceEpoch))
			.filter((window) -> this.collection.isReady(window, expected, sinceEpoch))
			.findFirst()
			.map((window) -> begin(new UsageStep.Fix(contents(window), version(window))))
			.orElse(new UsageStep.Wait());
	}

	private UsageStep begin(UsageStep step) {
		this.callOpen = true;
		return step;
	}

	private boolean isUnfixed(long window) {
		FixedReport known = this.rows.get(row(window));
		return known == null || known.report().window() < window;
	}

	/**
	 * Returns whether a report that no row holds may still be fixed. One of an earlier
	 * era of the store may have been sent with other counts, and its row lost since.
	 * @param window the window
	 * @param sinceEpoch the true time
	 * @return whether this instance fixed it itself, or the window ended in this era
	 */
	private boolean mayBeFixed(long window, Duration sinceEpoch) {
		if (this.timing.isPast(window, sinceEpoch)) {
			return false;
		}
		return this.fixedHere.containsKey(window) || this.timing.end(window).compareTo(this.eraBegan) >= 0;
	}

	private UsageReport contents(long window) {
		return this.fixedHere.computeIfAbsent(window,
				(ignored) -> new UsageReport(window, this.collection.counts(window)));
	}

	private StoreVersion version(long window) {
		FixedReport known = this.rows.get(row(window));
		return (known != null) ? known.version() : StoreVersion.NONE;
	}

	/**
	 * Accepts the reports that are fixed in the store.
	 * @param token the token of the holder when they were read
	 * @param fixed the reports
	 * @param storeEra the era of the store
	 * @param sinceEpoch the true time
	 */
	public void onRead(FencingToken token, Collection<FixedReport> fixed, long storeEra, Duration sinceEpoch) {
		succeeded();
		if (storeEra > this.era && (this.era > 0 || storeEra > 1)) {
			this.eraBegan = sinceEpoch;
		}
		this.era = storeEra;
		this.readUnder = Optional.of(token);
		this.rows.clear();
		for (FixedReport report : fixed) {
			this.rows.put(row(report.report().window()), report);
			this.fixedHere.put(report.report().window(), report.report());
		}
		this.fixedHere.keySet().removeIf((window) -> this.timing.isPast(window, sinceEpoch));
		this.sent.removeIf((window) -> this.timing.isPast(window, sinceEpoch));
		this.delivered.removeIf((window) -> this.timing.isPast(window, sinceEpoch));
	}

	/**
	 * Accepts that a report is fixed.
	 * @param report the report
	 * @param version the version of its row
	 */
	public void onFixed(UsageReport report, StoreVersion version) {
		succeeded();
		this.rows.put(row(report.window()), new FixedReport(report, version));
	}

	/**
	 * Accepts that the receiver has taken a report, or has rejected it for good.
	 * @param report the report
	 */
	public void onDelivered(UsageReport report) {
		succeeded();
		this.delivered.add(report.window());
	}

	/**
	 * Accepts that a read or the sending of a report failed.
	 * @param elapsed the elapsed time
	 */
	public void onFailed(Duration elapsed) {
		this.callOpen = false;
		this.pauseUntil = elapsed.plus(SHORTEST_PAUSE.multipliedBy(1L << Math.min(this.failures, MAXIMUM_DOUBLINGS)));
		this.failures++;
	}

	/**
	 * Accepts that a report could not be fixed, or that the outcome is unknown: the rows
	 * are read again first. Unless it was sent before, the report that was meant is
	 * forgotten, since that of another holder may stand in its place.
	 * @param report the report
	 * @param elapsed the elapsed time
	 */
	public void onFixFailed(UsageReport report, Duration elapsed) {
		onFailed(elapsed);
		if (!this.sent.contains(report.window())) {
			this.fixedHere.remove(report.window());
		}
		this.readUnder = Optional.empty();
	}

	private void succeeded() {
		this.callOpen = false;
		this.failures = 0;
	}

	/**
	 * Returns whether the report of a window is fixed, as far as this instance knows.
	 * @param window the window
	 * @return whether counts that arrive now are too late
	 */
	public boolean isFixed(long window) {
		return this.fixedHere.containsKey(window);
	}

}
