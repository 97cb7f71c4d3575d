package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.feed.FeedTiming;
import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.OperatorFact;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * Decisions of the operator, read from the store: the configuration, evacuations and
 * rollouts. Confined to the control thread.
 *
 * <p>
 * A configuration is replaced by one with a larger version, and by one with the same
 * version and other contents, since the store holds that one now. Orders that a restored
 * store lacks stay in force until the operator has written or removed them again. Of
 * orders that the copy brings back, evacuations take effect, since they only reduce
 * traffic; rollouts do not.
 *
 * @author the wagtailmux developers
 */
final class OperatorFacts implements TableMirror.Listener {

	private static final Logger LOG = LoggerFactory.getLogger(OperatorFacts.class);

	/** Time after a restore in which the operator repeats orders that were lost. */
	private static final Duration REPETITION_TIME = Duration.ofSeconds(10);

	private final FactCodec codec;

	private final TimeSource time;

	private final Runnable onChange;

	private final Runnable onRestored;

	private final TableMirror mirror;

	private final Map<String, OperatorFact> facts = new HashMap<>();

	private final Map<String, StoreVersion> firstVersions = new HashMap<>();

	private final Map<String, StoreVersion> versions = new HashMap<>();

	private Optional<ServingConfiguration> configuration = Optional.empty();

	private byte[] configurationSource = {};

	private Duration restoredAt = Duration.ofDays(-1);

	OperatorFacts(FactCodec codec, RowStore store, ScheduledExecutorService control, TimeSource time, FeedTiming timing,
			Supplier<Duration> pauseAfterChange, Runnable onChange, Runnable onRestored) {
		this.codec = codec;
		this.time = time;
		this.onChange = onChange;
		this.onRestored = onRestored;
		this.mirror = new TableMirror(codec.operatorTable(), store, control, time, timing, pauseAfterChange, this);
	}

	void start() {
		this.mirror.start();
	}

	TableMirror mirror() {
		return this.mirror;
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
	 * @return the orders, keyed by the versions under which their rows were first read,
	 * which identify them even if the rows are written again after a restore
	 */
	Map<StoreVersion, OperatorFact.Rollout> rollouts() {
		Map<StoreVersion, OperatorFact.Rollout> rollouts = new HashMap<>();
		this.facts.forEach((key, fact) -> {
			if (fact instanceof OperatorFact.Rollout rollout) {
				rollouts.put(this.firstVersions.get(key), rollout);
			}
		});
		return rollouts;
	}

	/**
	 * Returns the present version of an order's row.
	 * @param order the version that identifies the order
	 * @return the version under which the row was read last; of an earlier era than that
	 * of the store if the restored store lacks the row
	 */
	StoreVersion versionOf(StoreVersion order) {
		return this.firstVersions.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(order))
			.map((entry) -> this.versions.get(entry.getKey()))
			.findFirst()
			.orElse(order);
	}

	@Override
	public void onRowChanged(StoredRow row) {
		try {
			OperatorFact fact = this.codec.operatorFact(row);
			if (fact instanceof OperatorFact.Accepted accepted) {
				accept(accepted.configuration(), row);
			}
			else {
				setOrder(row, fact);
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
	public void onRowRemoved(String key, StoreVersion version) {
		this.versions.remove(key);
		this.firstVersions.remove(key);
		if (this.facts.remove(key) != null) {
			LOG.atInfo().addKeyValue("key", key).addKeyValue("version", version).log("operator order removed");
			this.onChange.run();
		}
	}

	@Override
	public void onCaughtUp(StoreVersion version) {
	}

	@Override
	public void onRestored() {
		this.restoredAt = this.time.elapsed();
		this.onRestored.run();
	}

	@Override
	public void onRowKept(StoredRow row) {
		this.versions.computeIfPresent(row.key(), (key, before) -> row.version());
	}

	@Override
	public void onRowReturned(StoredRow row) {
		LOG.atWarn()
			.addKeyValue("key", row.key())
			.addKeyValue("version", row.version())
			.log("restored store has an earlier state of an operator row");
		boolean evacuation = this.codec.operatorFact(row) instanceof OperatorFact.Evacuation;
		if (evacuation && !this.facts.containsKey(row.key())) {
			onRowChanged(row);
		}
	}

	@Override
	public void onRowLacking(String key) {
		LOG.atWarn()
			.addKeyValue("key", key)
			.log("restored store lacks an operator row; it stays in force until it is written or removed again");
	}

	/**
	 * Sets an order. A row that is written again with the same contents soon after a
	 * restore repeats the order that is in force; otherwise it is another order.
	 * @param row the row
	 * @param fact its decoded content
	 */
	private void setOrder(StoredRow row, OperatorFact fact) {
		boolean restoredLately = this.time.elapsed().minus(this.restoredAt).compareTo(REPETITION_TIME) < 0;
		boolean repeated = fact.equals(this.facts.put(row.key(), fact)) && restoredLately;
		this.versions.put(row.key(), row.version());
		if (repeated) {
			this.mirror.markRepeated(row.key(), this.firstVersions.get(row.key()));
		}
		else {
			this.firstVersions.put(row.key(), row.version());
		}
		LOG.atInfo()
			.addKeyValue("key", row.key())
			.addKeyValue("version", row.version())
			.addKeyValue("repeated", repeated)
			.log("operator order received");
	}

	private void accept(ServingConfiguration next, StoredRow row) {
		long current = this.configuration.map(ServingConfiguration::version).orElse(-1L);
		if (next.version() < current) {
			LOG.atWarn()
				.addKeyValue("configuration", next.version())
				.addKeyValue("current", current)
				.addKeyValue("version", row.version())
				.log("older configuration ignored");
			return;
		}
		if (next.version() == current && Arrays.equals(this.configurationSource, row.value())) {
			return;
		}
		this.configuration = Optional.of(next);
		this.configurationSource = row.value();
		LOG.atInfo()
			.addKeyValue("configuration", next.version())
			.addKeyValue("before", current)
			.addKeyValue("version", row.version())
			.log((next.version() == current) ? "other contents of the configuration in force"
					: "configuration in force");
	}

}
