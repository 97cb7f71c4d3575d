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
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.RegisteredEndpoint;

/**
 * The endpoints that the registry names.
 *
 * <p>
 * Entries may lapse while the store is away although their endpoints live; they are back
 * soon after it. So an entry that goes missing around such a time is believed gone only
 * after a while.
 *
 * @author the wagtailmux developers
 */
final class EndpointRegistry implements TableMirror.Listener {

	private static final Logger LOG = LoggerFactory.getLogger(EndpointRegistry.class);

	/** Entries of living endpoints are back within about two seconds of the store. */
	private static final Duration RETURN_TIME = Duration.ofMillis(2500);

	private final FactCodec codec;

	private final ScheduledExecutorService control;

	private final Runnable changed;

	private final TableMirror mirror;

	private final Map<String, RegisteredEndpoint> entries = new HashMap<>();

	private final Map<String, Long> missingSince = new HashMap<>();

	private boolean told;

	EndpointRegistry(FactCodec codec, RowStore store, ScheduledExecutorService control, TimeSource time,
			Supplier<Duration> pauseAfterChange, Runnable changed) {
		this.codec = codec;
		this.control = control;
		this.changed = changed;
		this.mirror = new TableMirror(codec.endpointTable(), store, control, time, pauseAfterChange, this);
	}

	void start() {
		this.mirror.start();
	}

	boolean known() {
		return this.mirror.complete();
	}

	Map<EndpointId, RegisteredEndpoint> endpoints() {
		Map<EndpointId, RegisteredEndpoint> byId = new HashMap<>();
		this.entries.values().forEach((entry) -> byId.put(entry.id(), entry));
		return byId;
	}

	@Override
	public void changed(StoredRow row) {
		this.missingSince.remove(row.key());
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
				.log("entry unusable");
		}
		this.changed.run();
	}

	@Override
	public void removed(String key, long version) {
		if (!this.entries.containsKey(key)) {
			return;
		}
		if (this.mirror.calmFor().compareTo(RETURN_TIME) >= 0) {
			forget(key, version);
			return;
		}
		this.missingSince.put(key, version);
		this.control.schedule(() -> forgetIfStillMissing(key, version), RETURN_TIME.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void caughtUp(long version) {
		if (!this.told) {
			this.told = true;
			this.changed.run();
		}
	}

	private void forgetIfStillMissing(String key, long version) {
		if (this.missingSince.getOrDefault(key, -1L) != version) {
			return;
		}
		if (this.mirror.calmFor().compareTo(RETURN_TIME) < 0) {
			this.control.schedule(() -> forgetIfStillMissing(key, version), RETURN_TIME.toMillis() / 4,
					TimeUnit.MILLISECONDS);
			return;
		}
		this.missingSince.remove(key);
		forget(key, version);
	}

	private void forget(String key, long version) {
		this.entries.remove(key);
		LOG.atInfo().addKeyValue("endpoint", key).addKeyValue("version", version).log("endpoint gone");
		this.changed.run();
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
			.log(entry.draining() ? "endpoint leaves" : "endpoint known");
	}

}
