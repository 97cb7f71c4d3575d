package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * Endpoints in the registry, a table of the store. Confined to the control thread.
 *
 * <p>
 * While the store is unavailable, entries may expire although their endpoints are alive;
 * these endpoints register again once the store is back. An endpoint whose entry
 * disappears during or shortly after a failure of the store is therefore removed only
 * after a delay, and only if it has not registered again.
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

	private final FactCodec codec;

	private final ScheduledExecutorService control;

	private final Runnable onChange;

	private final TableMirror mirror;

	private final Map<String, RegisteredEndpoint> entries = new HashMap<>();

	private final Map<String, Long> missingAtVersion = new HashMap<>();

	private boolean initialReadDone;

	EndpointRegistry(FactCodec codec, RowStore store, ScheduledExecutorService control, TimeSource time,
			Supplier<Duration> pauseAfterChange, Runnable onChange) {
		this.codec = codec;
		this.control = control;
		this.onChange = onChange;
		this.mirror = new TableMirror(codec.endpointTable(), store, control, time, pauseAfterChange, this);
	}

	void start() {
		this.mirror.start();
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
	public void onRowRemoved(String key, long version) {
		if (!this.entries.containsKey(key)) {
			return;
		}
		if (this.mirror.timeSinceFailure().compareTo(REREGISTRATION_TIME) >= 0) {
			remove(key, version);
			return;
		}
		this.missingAtVersion.put(key, version);
		this.control.schedule(() -> removeIfStillMissing(key, version), REREGISTRATION_TIME.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void onCaughtUp(long version) {
		if (!this.initialReadDone) {
			this.initialReadDone = true;
			this.onChange.run();
		}
	}

	private void removeIfStillMissing(String key, long version) {
		if (this.missingAtVersion.getOrDefault(key, -1L) != version) {
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

	private void remove(String key, long version) {
		this.entries.remove(key);
		LOG.atInfo().addKeyValue("endpoint", key).addKeyValue("version", version).log("endpoint removed");
		this.onChange.run();
	}

	private static void log(RegisteredEndpoint entry, RegisteredEndpoint before, long version) {
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
