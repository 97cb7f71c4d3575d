package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.engine.port.RowPage;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoreErrorCode;
import io.wagtailmux.engine.port.StoreException;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.model.TimeSource;

/**
 * Keeps up with one table: reads it whole once and then waits for its changes. If changes
 * were lost, it is read whole again and compared. It belongs to the control thread.
 *
 * @author the wagtailmux developers
 */
final class TableMirror {

	private static final Logger LOG = LoggerFactory.getLogger(TableMirror.class);

	/**
	 * Bounds how long a call that the store never answers is waited for; each is priced.
	 */
	private static final Duration FEED_WAIT = Duration.ofSeconds(2);

	/** While the store fails, a call may be lost shortly before it is back. */
	private static final Duration TROUBLED_FEED_WAIT = Duration.ofMillis(500);

	private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

	private static final Duration LONGEST_PAUSE = Duration.ofMillis(300);

	private final String table;

	private final RowStore store;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final Listener listener;

	private final Supplier<Duration> pauseAfterChange;

	private final Map<String, Long> versions = new HashMap<>();

	private Duration pause = FIRST_PAUSE;

	private Duration lastTrouble = Duration.ofDays(-1);

	private boolean troubled;

	private boolean complete;

	private long position;

	/**
	 * Creates a mirror that knows no rows yet.
	 * @param table the table
	 * @param store the store
	 * @param control the control thread
	 * @param time the clock
	 * @param pauseAfterChange how long further changes may collect after one was told;
	 * each change wakes every instance's call
	 * @param listener hears of the rows
	 */
	TableMirror(String table, RowStore store, ScheduledExecutorService control, TimeSource time,
			Supplier<Duration> pauseAfterChange, Listener listener) {
		this.table = table;
		this.store = store;
		this.control = control;
		this.time = time;
		this.pauseAfterChange = pauseAfterChange;
		this.listener = listener;
	}

	void start() {
		readWhole("", new HashSet<>());
	}

	/**
	 * Tells whether the table was read whole once.
	 * @return whether its rows are known
	 */
	boolean complete() {
		return this.complete;
	}

	/**
	 * Returns how long the store has answered without a failure.
	 * @return the time since the last failed call
	 */
	Duration calmFor() {
		return this.troubled ? Duration.ZERO : this.time.elapsed().minus(this.lastTrouble);
	}

	/**
	 * Takes a row that this instance learnt in another way.
	 * @param row the row
	 */
	void take(StoredRow row) {
		long known = this.versions.getOrDefault(row.key(), 0L);
		if (row.version() <= known) {
			return;
		}
		this.versions.put(row.key(), row.version());
		if (row.deleted()) {
			this.listener.removed(row.key(), row.version());
			return;
		}
		this.listener.changed(row);
	}

	private void readWhole(String from, Set<String> seen) {
		this.store.read(this.table, from).whenCompleteAsync((page, failure) -> {
			if (failure != null) {
				retry(failure, () -> readWhole("", new HashSet<>()));
				return;
			}
			guarded(() -> takePage(page, seen));
		}, this.control);
	}

	private void takePage(RowPage page, Set<String> seen) {
		recovered();
		page.rows().forEach((row) -> {
			seen.add(row.key());
			take(row);
		});
		if (page.more() && !page.rows().isEmpty()) {
			String last = page.rows().get(page.rows().size() - 1).key();
			readWhole(last + "\0", seen);
			return;
		}
		for (String key : Set.copyOf(this.versions.keySet())) {
			if (!seen.contains(key) && this.versions.get(key) <= page.version()) {
				this.versions.remove(key);
				this.listener.removed(key, page.version());
			}
		}
		this.complete = true;
		this.position = page.version();
		this.listener.caughtUp(this.position);
		follow();
	}

	private void follow() {
		Duration wait = this.troubled ? TROUBLED_FEED_WAIT : FEED_WAIT;
		this.store.changes(this.table, this.position, wait).whenCompleteAsync((page, failure) -> {
			if (failure != null) {
				lost(failure);
				return;
			}
			guarded(() -> takeChanges(page));
		}, this.control);
	}

	private void takeChanges(RowPage page) {
		recovered();
		page.rows().forEach(this::take);
		this.position = Math.max(this.position, page.version());
		this.listener.caughtUp(this.position);
		if (page.rows().isEmpty()) {
			follow();
			return;
		}
		this.control.schedule(this::follow, this.pauseAfterChange.get().toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs a step whose failure must not end the following of the table.
	 * @param step the step
	 */
	private void guarded(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			LOG.atError().setCause(ex).addKeyValue("table", this.table).log("rows not taken, reading the table again");
			retry(ex, () -> readWhole("", new HashSet<>()));
		}
	}

	private void lost(Throwable failure) {
		boolean historyLost = cause(failure) instanceof StoreException known
				&& known.code() == StoreErrorCode.HISTORY_LOST;
		if (historyLost) {
			LOG.atWarn().addKeyValue("table", this.table).addKeyValue("after", this.position).log("history lost");
			readWhole("", new HashSet<>());
			return;
		}
		retry(failure, this::follow);
	}

	private void retry(Throwable failure, Runnable action) {
		this.lastTrouble = this.time.elapsed();
		if (!this.troubled) {
			this.troubled = true;
			LOG.atWarn()
				.addKeyValue("table", this.table)
				.addKeyValue("position", this.position)
				.addKeyValue("why", cause(failure).getMessage())
				.log("store lost");
		}
		this.control.schedule(action, this.pause.toMillis(), TimeUnit.MILLISECONDS);
		Duration doubled = this.pause.multipliedBy(2);
		this.pause = (doubled.compareTo(LONGEST_PAUSE) < 0) ? doubled : LONGEST_PAUSE;
	}

	private void recovered() {
		this.pause = FIRST_PAUSE;
		if (this.troubled) {
			this.troubled = false;
			this.lastTrouble = this.time.elapsed();
			LOG.atInfo().addKeyValue("table", this.table).addKeyValue("position", this.position).log("store regained");
		}
	}

	private static Throwable cause(Throwable failure) {
		return (failure.getCause() != null) ? failure.getCause() : failure;
	}

	/**
	 * Hears of a table's rows.
	 */
	interface Listener {

		/**
		 * Takes a row that is new or has changed.
		 * @param row the row
		 */
		void changed(StoredRow row);

		/**
		 * Takes note that a row is gone.
		 * @param key its key
		 * @param version the store's version at which it was gone
		 */
		void removed(String key, long version);

		/**
		 * Takes note that all changes up to a version were told.
		 * @param version the version
		 */
		void caughtUp(long version);

	}

}
