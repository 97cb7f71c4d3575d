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
 * Decisions of the operator, read from the store: the configuration, evacuations and
 * rollouts. A configuration is only replaced by one with a larger version. Confined to
 * the control thread.
 *
 * @author the wagtailmux developers
 */
final class OperatorFacts implements TableMirror.Listener {

	private static final Logger LOG = LoggerFactory.getLogger(OperatorFacts.class);

	private final FactCodec codec;

	private final Runnable onChange;

	private final TableMirror mirror;

	private final Map<String, OperatorFact> facts = new HashMap<>();

	private final Map<String, Long> versions = new HashMap<>();

	private Optional<ServingConfiguration> configuration = Optional.empty();

	OperatorFacts(FactCodec codec, RowStore store, ScheduledExecutorService control, TimeSource time,
			Supplier<Duration> pauseAfterChange, Runnable onChange) {
		this.codec = codec;
		this.onChange = onChange;
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
	 * Returns the rollouts that the operator ordered.
	 * @return the orders, keyed by the versions of their rows
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
	public void onRowChanged(StoredRow row) {
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
					.log("operator order received");
			}
		}
		catch (ProtocolException ex) {
			LOG.atError()
				.addKeyValue("key", row.key())
				.addKeyValue("version", row.version())
				.addKeyValue("why", ex.getMessage())
				.log("could not decode operator row");
		}
		this.onChange.run();
	}

	@Override
	public void onRowRemoved(String key, long version) {
		this.versions.remove(key);
		if (this.facts.remove(key) != null) {
			LOG.atInfo().addKeyValue("key", key).addKeyValue("version", version).log("operator order removed");
			this.onChange.run();
		}
	}

	@Override
	public void onCaughtUp(long version) {
	}

	private void accept(ServingConfiguration next, long rowVersion) {
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
			.addKeyValue("version", rowVersion)
			.log("configuration in force");
	}

}
