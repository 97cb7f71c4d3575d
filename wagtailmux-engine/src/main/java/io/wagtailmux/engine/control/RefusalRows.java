package io.wagtailmux.engine.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.engine.peer.ThriftCodec;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowPage;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.peer.wire.RefusalMessage;

/**
 * Refusals of prompt parts in the store, so that they outlast all instances. The rows are
 * read once at the start; afterwards instances tell each other. Confined to the control
 * thread.
 *
 * <p>
 * The instance that decides a refusal writes its row. If several decide it at the same
 * time, the first write is kept; if a write fails, the rows are read and it is tried
 * again unless the row has the same or a higher revision.
 *
 * @author the wagtailmux developers
 */
final class RefusalRows {

	private static final Logger LOG = LoggerFactory.getLogger(RefusalRows.class);

	private static final String TABLE = "refusals";

	private static final Duration RETRY_INTERVAL = Duration.ofMillis(700);

	private final RowStore store;

	private final ScheduledExecutorService control;

	private final Consumer<RefusalMessage> onRead;

	private final Runnable onComplete;

	private final Map<String, StoredRefusal> stored = new HashMap<>();

	private final Map<String, RefusalMessage> unsaved = new HashMap<>();

	private boolean complete;

	private boolean callPending;

	/**
	 * Creates the rows without reading them.
	 * @param store the store
	 * @param control the control thread
	 * @param onRead receives each refusal that is read
	 * @param onComplete called once, when all rows have been read
	 */
	RefusalRows(RowStore store, ScheduledExecutorService control, Consumer<RefusalMessage> onRead,
			Runnable onComplete) {
		this.store = store;
		this.control = control;
		this.onRead = onRead;
		this.onComplete = onComplete;
	}

	void start() {
		read("");
	}

	/**
	 * Returns whether all rows have been read at least once.
	 * @return whether the refusals from before the start are known
	 */
	boolean complete() {
		return this.complete;
	}

	/**
	 * Reads the rows again, since the store was restored from a copy that may lack some.
	 * Refusals that it lacks have to be saved again.
	 */
	void onRestored() {
		this.stored.clear();
		if (!this.callPending) {
			read("");
		}
	}

	/**
	 * Writes a refusal, now or as soon as the store is available.
	 * @param refusal the refusal, with the state and revision to store
	 */
	void save(RefusalMessage refusal) {
		this.unsaved.put(key(refusal), refusal);
		writeNext();
	}

	private void read(String from) {
		this.callPending = true;
		this.store.read(TABLE, from).whenCompleteAsync((page, failure) -> {
			this.callPending = false;
			if (failure != null) {
				LOG.atWarn().addKeyValue("why", failure.getMessage()).log("could not read refusals");
				schedule(() -> read(from));
				return;
			}
			page.rows().forEach(this::apply);
			if (page.more() && !page.rows().isEmpty()) {
				read(firstKeyAfter(page));
				return;
			}
			if (!this.complete) {
				this.complete = true;
				this.onComplete.run();
			}
			writeNext();
		}, this.control);
	}

	private void apply(StoredRow row) {
		try {
			RefusalMessage refusal = ThriftCodec.decode(row.value(), new RefusalMessage());
			// The age in the row is that at its writing, so that the time counts anew.
			refusal.setAgeMicroseconds(0);
			this.stored.put(row.key(), new StoredRefusal(refusal.getRevision(), row.version()));
			this.onRead.accept(refusal);
		}
		catch (ProtocolException ex) {
			this.stored.put(row.key(), new StoredRefusal(0, row.version()));
			LOG.atWarn().addKeyValue("key", row.key()).addKeyValue("why", ex.getMessage()).log("refusal not decoded");
		}
	}

	private void writeNext() {
		this.unsaved.entrySet()
			.removeIf((entry) -> this.stored.getOrDefault(entry.getKey(), StoredRefusal.NONE)
				.revision() >= entry.getValue().getRevision());
		if (this.callPending || !this.complete || this.unsaved.isEmpty()) {
			return;
		}
		Map.Entry<String, RefusalMessage> next = this.unsaved.entrySet().iterator().next();
		String key = next.getKey();
		RefusalMessage refusal = next.getValue();
		StoreVersion version = this.stored.getOrDefault(key, StoredRefusal.NONE).version();
		this.callPending = true;
		this.store.write(TABLE, key, ThriftCodec.encodeToBytes(refusal), version)
			.whenCompleteAsync((written, failure) -> onWritten(key, refusal, written, failure), this.control);
	}

	private void onWritten(String key, RefusalMessage refusal, StoreVersion version, Throwable failure) {
		this.callPending = false;
		LOG.atInfo()
			.addKeyValue("parts", refusal.getParts())
			.addKeyValue("revision", refusal.getRevision())
			.addKeyValue("outcome", (failure != null) ? failure.getMessage() : "row version " + version)
			.log("refusal write finished");
		if (failure != null) {
			schedule(() -> read(""));
			return;
		}
		this.stored.put(key, new StoredRefusal(refusal.getRevision(), version));
		writeNext();
	}

	private void schedule(Runnable action) {
		this.callPending = true;
		this.control.schedule(action, RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static String firstKeyAfter(RowPage page) {
		return page.rows().get(page.rows().size() - 1).key() + "\0";
	}

	private static String key(RefusalMessage refusal) {
		String parts = String.join(",", refusal.getParts());
		return refusal.getPool() + "/" + UUID.nameUUIDFromBytes(parts.getBytes(StandardCharsets.UTF_8));
	}

	private record StoredRefusal(int revision, StoreVersion version) {

		private static final StoredRefusal NONE = new StoredRefusal(0, StoreVersion.NONE);

	}

}
