package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.OperatorFact;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * What the operator asked for: the configuration, evacuations, rollouts. A configuration
 * is only ever replaced by one with a larger version.
 *
 * @author the wagtailmux developers
 */
final class OperatorFacts implements TableMirror.Listener {

	private static final Logger LOG = LoggerFactory.getLogger(OperatorFacts.class);

	private final FactCodec codec;

	private final Runnable changed;

	private final TableMirror mirror;

	private final Map<String, OperatorFact> facts = new HashMap<>();

	private final Map<String, Long> versions = new HashMap<>();

	private Optional<ServingConfiguration> configuration = Optional.empty();

	OperatorFacts(FactCodec codec, RowStore store, ScheduledExecutorService control, TimeSource time,
			Supplier<Duration> pauseAfterChange, Runnable changed) {
		this.codec = codec;
		this.changed = changed;
		this.mirror = new TableMirror(codec.operatorTable(), store, control, time, pauseAfterChange, this);
	}

	void start() {
		this.mirror.start();
	}

	Optional<ServingConfiguration> configuration() {
		return this.configuration;
	}

	Set<AvailabilityZoneId> evacuated() {
		return this.facts.values()
			.stream()
			.filter(OperatorFact.Evacuation.class::isInstance)
			.map((fact) -> ((OperatorFact.Evacuation) fact).zone())
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the moves to other versions that were ordered.
	 * @return the orders by the versions of their rows
	 */
	Map<Long, OperatorFact.Rollout> rollouts() {
		Map<Long, OperatorFact.Rollout> rollouts = new HashMap<>();
		this.facts.forEach((key, fact) -> {
			if (fact instanceof OperatorFact.Rollout rollout) {
				rollouts.put(this.versions.get(key), rollout);
			}
		});
		return rollouts;
	}

	@Override
	public void changed(StoredRow row) {
		try {
			OperatorFact fact = this.codec.operatorFact(row);
			if (fact instanceof OperatorFact.Accepted accepted) {
				accept(accepted.configuration(), row.version());
			}
			else {
				this.facts.put(row.key(), fact);
				this.versions.put(row.key(), row.version());
				LOG.atInfo()
					.addKeyValue("key", row.key())
					.addKeyValue("version", row.version())
					.log("operator's order");
			}
		}
		catch (ProtocolException ex) {
			LOG.atError()
				.addKeyValue("key", row.key())
				.addKeyValue("version", row.version())
				.addKeyValue("why", ex.getMessage())
				.log("operator's row unreadable");
		}
		this.changed.run();
	}

	@Override
	public void removed(String key, long version) {
		this.versions.remove(key);
		if (this.facts.remove(key) != null) {
			LOG.atInfo().addKeyValue("key", key).addKeyValue("version", version).log("operator's order ended");
			this.changed.run();
		}
	}

	@Override
	public void caughtUp(long version) {
	}

	private void accept(ServingConfiguration next, long row) {
		long current = this.configuration.map(ServingConfiguration::version).orElse(-1L);
		if (next.version() <= current) {
			LOG.atWarn()
				.addKeyValue("configuration", next.version())
				.addKeyValue("current", current)
				.log("older configuration ignored");
			return;
		}
		this.configuration = Optional.of(next);
		LOG.atInfo()
			.addKeyValue("configuration", next.version())
			.addKeyValue("before", current)
			.addKeyValue("version", row)
			.log("configuration in force");
	}

}
