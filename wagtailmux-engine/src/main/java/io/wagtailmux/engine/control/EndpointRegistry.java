package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.feed.FeedTiming;
import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * Endpoints in the registry, a table of the store. Confined to the control thread.
 *
 * <p>
 * While the store is unavailable, entries may expire although their endpoints are alive;
 * these endpoints register again once the store is back. An endpoint whose entry
 * disappears during or shortly after a failure of the store is therefore removed only
 * after a delay, and only if it has not registered again. The same holds for entries that
 * a store lacks that was restored from an older copy. An entry that the copy brings back
 * is used again only once it changes or has outlasted the expiry of entries, and an
 * endpoint that drains does not become ready through it.
 *
 * @author the wagtailmux developers
 */
final class EndpointRegistry implements TableMirror.Listener {

	private static final Logger LOG = LoggerFactory.getLogger(EndpointRegistry.class);

	/**
	 * Live endpoints register again within about two seconds after the store is available
	 * again.
	 */
	private static final Duration REREGISTRATION_TIME = Duration.ofMillis(2500);

	/**
	 * Time after which an entry that a restore brought back is used if it is still there.
	 * By then the entry of an endpoint that is gone has expired, after three of its
	 * heartbeats.
	 */
	private static final Duration RETURNED_ENTRY_PROOF_TIME = Duration.ofSeconds(6);

	private final FactCodec codec;

	private final ScheduledExecutorService control;

	private final Runnable onChange;

	private final Runnable onRestored;

	private final TableMirror mirror;

	private final Map<String, RegisteredEndpoint> entries = new HashMap<>();

	private final Map<String, StoreVersion> missingAtVersion = new HashMap<>();

	private final Map<String, StoredRow> returned = new HashMap<>();

	private boolean initialReadDone;

	EndpointRegistry(FactCodec codec, RowStore store, ScheduledExecutorService control, TimeSource time,
			FeedTiming timing, Supplier<Duration> pauseAfterChange, Runnable onChange, Runnable onRestored) {
		this.codec = codec;
		this.control = control;
		this.onChange = onChange;
		this.onRestored = onRestored;
		this.mirror = new TableMirror(codec.endpointTable(), store, control, time, timing, pauseAfterChange, this);
	}

	void start() {
		this.mirror.start();
	}

	TableMirror mirror() {
		return this.mirror;
	}

	boolean complete() {
		return this.mirror.complete();
	}

	Map<EndpointId, RegisteredEndpoint> endpoints() {
		Map<EndpointId, RegisteredEndpoint> byId = new HashMap<>();
		this.entries.values().forEach((entry) -> byId.put(entry.id(), entry));
		return byId;
	}

	/**
	 * Counts the registered endpoints of a pool.
	 * @param pool the pool
	 * @return the number of those that are not draining
	 */
	int endpointsOf(PoolId pool) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> entry.pool().equals(pool) && !entry.draining())
			.count();
	}

	@Override
	public void onRowChanged(StoredRow row) {
		this.missingAtVersion.remove(row.key());
		this.returned.remove(row.key());
		try {
			RegisteredEndpoint entry = this.codec.endpoint(row);
			RegisteredEndpoint before = this.entries.put(row.key(), entry);
			log(entry, before, row.version());
		}
		catch (ProtocolException ex) {
			this.entries.remove(row.key());
			LOG.atWarn()
				.addKeyValue("key", row.key())
				.addKeyValue("version", row.version())
				.addKeyValue("why", ex.getMessage())
				.log("endpoint entry rejected");
		}
		this.onChange.run();
	}

	@Override
	public void onRowRemoved(String key, StoreVersion version) {
		this.returned.remove(key);
		if (!this.entries.containsKey(key)) {
			return;
		}
		Duration remaining = REREGISTRATION_TIME.minus(this.mirror.timeSinceFailure());
		if (remaining.isNegative() || remaining.isZero()) {
			remove(key, version);
			return;
		}
		awaitReregistration(key, version, remaining);
	}

	@Override
	public void onRestored() {
		this.onRestored.run();
	}

	@Override
	public void onRowKept(StoredRow row) {
		if (!this.entries.containsKey(row.key())) {
			onRowReturned(row);
		}
	}

	@Override
	public void onRowReturned(StoredRow row) {
		if (this.entries.containsKey(row.key())) {
			// An earlier state of an endpoint that is still known, such as one that has
			// begun to drain since.
			return;
		}
		this.returned.put(row.key(), row);
		this.control.schedule(() -> useIfStillRegistered(row), RETURNED_ENTRY_PROOF_TIME.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void onRowLacking(String key) {
		if (this.entries.containsKey(key)) {
			awaitReregistration(key, this.mirror.position(), REREGISTRATION_TIME);
		}
	}

	@Override
	public void onCaughtUp(StoreVersion version) {
		if (!this.initialReadDone) {
			this.initialReadDone = true;
			this.onChange.run();
		}
	}

	private void useIfStillRegistered(StoredRow row) {
		if (this.returned.get(row.key()) == row) {
			onRowChanged(row);
		}
	}

	private void awaitReregistration(String key, StoreVersion version, Duration time) {
		this.missingAtVersion.put(key, version);
		this.control.schedule(() -> removeIfStillMissing(key, version), time.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void removeIfStillMissing(String key, StoreVersion version) {
		if (!version.equals(this.missingAtVersion.get(key))) {
			return;
		}
		if (this.mirror.timeSinceFailure().compareTo(REREGISTRATION_TIME) < 0) {
			this.control.schedule(() -> removeIfStillMissing(key, version), REREGISTRATION_TIME.toMillis() / 4,
					TimeUnit.MILLISECONDS);
			return;
		}
		this.missingAtVersion.remove(key);
		remove(key, version);
	}

	private void remove(String key, StoreVersion version) {
		this.entries.remove(key);
		this.mirror.drop(key);
		LOG.atInfo().addKeyValue("endpoint", key).addKeyValue("version", version).log("endpoint removed");
		this.onChange.run();
	}

	private static void log(RegisteredEndpoint entry, RegisteredEndpoint before, StoreVersion version) {
		if (before != null && before.draining() == entry.draining()
				&& before.startedAtMillis() == entry.startedAtMillis()) {
			return;
		}
		LOG.atInfo()
			.addKeyValue("endpoint", entry.id())
			.addKeyValue("pool", entry.pool())
			.addKeyValue("address", entry.address())
			.addKeyValue("zone", entry.zone())
			.addKeyValue("release", entry.version())
			.addKeyValue("coldMs", entry.remainingColdTime().toMillis())
			.addKeyValue("version", version)
			.log(entry.draining() ? "endpoint draining" : "endpoint registered");
	}

}
