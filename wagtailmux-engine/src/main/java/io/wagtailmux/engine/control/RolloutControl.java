package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.engine.peer.TrialMessages;
import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.OperatorFact;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RolloutState;
import io.wagtailmux.engine.port.RolloutStatus;
import io.wagtailmux.engine.port.RowPage;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.state.TrialPhase;
import io.wagtailmux.engine.state.TrialReport;
import io.wagtailmux.engine.state.VersionTrial;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.PingMessage;

/**
 * Evaluates the rollouts that the operator ordered and writes their status for the
 * operator. Confined to the control thread.
 *
 * <p>
 * The instance with the highest rendezvous hash for a pool writes the status of its
 * rollout. This needs no lease: each write names the version of the row that it replaces,
 * so that of two conflicting outcomes the first one stays. If a write fails, perhaps
 * after it reached the store, the status is read again before anything else is written.
 *
 * @author the wagtailmux developers
 */
final class RolloutControl {

	private static final Logger LOG = LoggerFactory.getLogger(RolloutControl.class);

	/**
	 * In a rollout of a few seconds, the last steps (all requests, completion, deadline)
	 * are about this far apart.
	 */
	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	/**
	 * Interval between reads of the status while it may change; the store charges for
	 * each call.
	 */
	private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

	private final DutyCandidate self;

	private final FactCodec codec;

	private final RowStore store;

	private final OperatorFacts operator;

	private final Membership membership;

	private final TrialSource ownTraffic;

	private final double exposureShare;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final Runnable onChange;

	private final Map<StoreVersion, Rollout> rollouts = new HashMap<>();

	private final Map<StoreVersion, TrialPhase> publishedPhases = new HashMap<>();

	private Duration nextRead = Duration.ZERO;

	private boolean callPending;

	RolloutControl(DutyCandidate self, FactCodec codec, RowStore store, OperatorFacts operator, Membership membership,
			TrialSource ownTraffic, double exposureShare, ScheduledExecutorService control, TimeSource time,
			Runnable onChange) {
		this.self = self;
		this.codec = codec;
		this.store = store;
		this.operator = operator;
		this.membership = membership;
		this.ownTraffic = ownTraffic;
		this.exposureShare = exposureShare;
		this.control = control;
		this.time = time;
		this.onChange = onChange;
	}

	void start() {
		this.control.scheduleWithFixedDelay(this::runTick, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the rollouts that the traffic thread has to apply, updated by the newest
	 * orders.
	 * @return for each pool with a rollout, the one that was ordered last
	 */
	Map<PoolId, VersionTrial> trials() {
		updateRollouts();
		Duration now = this.time.elapsed();
		Map<PoolId, VersionTrial> trials = new HashMap<>();
		for (Rollout rollout : this.rollouts.values()) {
			trials.merge(rollout.order().pool(), rollout.trial(now),
					(first, second) -> (first.order().compareTo(second.order()) > 0) ? first : second);
		}
		return trials;
	}

	/**
	 * Adds the reports of another instance.
	 * @param ping the instance's answer to a heartbeat; ignored if it has no reports
	 */
	void onHeartbeatAnswer(PingMessage ping) {
		if (ping.isSetTrials()) {
			String instance = ping.getSender().getInstance() + "@" + ping.getSender().getBoot();
			addReports(instance, TrialMessages.reports(ping));
		}
	}

	/**
	 * Reads all statuses again, since the store was restored from a copy that may lack
	 * some.
	 */
	void onRestored() {
		this.rollouts.values().forEach(Rollout::invalidateStatus);
		this.nextRead = Duration.ZERO;
	}

	private void runTick() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			LOG.atError().setCause(ex).log("rollout update failed");
		}
	}

	private void tick() {
		updateRollouts();
		if (this.rollouts.isEmpty()) {
			return;
		}
		this.ownTraffic.collect((reports) -> this.control.execute(() -> addReports(this.self.id().value(), reports)));
		if (this.callPending) {
			return;
		}
		Duration now = this.time.elapsed();
		boolean active = this.rollouts.values()
			.stream()
			.anyMatch((rollout) -> !rollout.isTerminal() || !rollout.isStatusKnown());
		if (active && now.compareTo(this.nextRead) >= 0) {
			readStatus();
			return;
		}
		this.rollouts.values()
			.stream()
			.filter((rollout) -> rollout.isDecisionLost() || isStatusWriter(rollout))
			.forEach(this::writeNextState);
		publishIfChanged();
	}

	private void addReports(String instance, List<TrialReport> reports) {
		Duration now = this.time.elapsed();
		for (TrialReport report : reports) {
			Rollout rollout = this.rollouts.get(report.order());
			if (rollout != null) {
				rollout.addReport(instance, report, now);
			}
		}
		publishIfChanged();
	}

	private void updateRollouts() {
		Map<StoreVersion, OperatorFact.Rollout> orders = this.operator.rollouts();
		this.rollouts.keySet().retainAll(orders.keySet());
		this.publishedPhases.keySet().retainAll(orders.keySet());
		orders.forEach((version, order) -> this.rollouts.computeIfAbsent(version, (ignored) -> {
			this.nextRead = Duration.ZERO;
			return new Rollout(order, version, this.exposureShare, this.time.elapsed());
		}));
		this.rollouts.forEach((version, rollout) -> {
			if (rollout.updateOrderRow(this.operator.versionOf(version))) {
				this.nextRead = Duration.ZERO;
			}
		});
	}

	private boolean isStatusWriter(Rollout rollout) {
		String duty = rollout.order().pool().value();
		return this.membership.alive()
			.stream()
			.map(InstancePeer::candidate)
			.noneMatch((peer) -> this.self.yieldsTo(peer, duty));
	}

	private void readStatus() {
		this.callPending = true;
		this.store.read(this.codec.statusTable(), "").whenCompleteAsync((page, failure) -> {
			this.callPending = false;
			if (failure != null) {
				LOG.atWarn().addKeyValue("why", failure.getMessage()).log("could not read rollout status");
				return;
			}
			this.nextRead = this.time.elapsed().plus(READ_INTERVAL);
			this.rollouts.values().forEach((rollout) -> updateStatus(rollout, page));
			publishIfChanged();
		}, this.control);
	}

	private void updateStatus(Rollout rollout, RowPage page) {
		String key = this.codec.rolloutStatusKey(rollout.order().pool());
		Optional<StoredRow> row = page.rows().stream().filter((each) -> each.key().equals(key)).findFirst();
		rollout.updateStatus(row.flatMap(this::decodeStatus), row.map(StoredRow::version).orElse(StoreVersion.NONE),
				page.version().era());
	}

	private Optional<RolloutStatus> decodeStatus(StoredRow row) {
		try {
			return Optional.of(this.codec.rolloutStatus(row));
		}
		catch (ProtocolException ex) {
			LOG.atWarn()
				.addKeyValue("key", row.key())
				.addKeyValue("why", ex.getMessage())
				.log("could not decode rollout status");
			return Optional.empty();
		}
	}

	private void writeNextState(Rollout rollout) {
		Optional<RolloutState> next = rollout.nextState(this.time.elapsed());
		if (next.isEmpty() || this.callPending) {
			return;
		}
		this.callPending = true;
		RolloutStatus status = new RolloutStatus(rollout.order().version(), next.get());
		String key = this.codec.rolloutStatusKey(rollout.order().pool());
		this.store.write(this.codec.statusTable(), key, this.codec.encode(status), rollout.statusVersion())
			.whenCompleteAsync((version, failure) -> onStatusWritten(rollout, status, version, failure), this.control);
	}

	private void onStatusWritten(Rollout rollout, RolloutStatus status, StoreVersion version, Throwable failure) {
		this.callPending = false;
		LOG.atInfo()
			.addKeyValue("pool", rollout.order().pool())
			.addKeyValue("to", status.version())
			.addKeyValue("state", status.state())
			.addKeyValue("answers", rollout.answers())
			.addKeyValue("streams", rollout.streams())
			.addKeyValue("ageMs", rollout.age(this.time.elapsed()).toMillis())
			.addKeyValue("outcome", (failure != null) ? failure.getMessage() : "row version " + version)
			.log("rollout status write finished");
		if (failure != null) {
			rollout.invalidateStatus();
			this.nextRead = Duration.ZERO;
			return;
		}
		rollout.updateStatus(Optional.of(status), version, version.era());
		publishIfChanged();
	}

	private void publishIfChanged() {
		Duration now = this.time.elapsed();
		boolean anyChanged = false;
		for (Rollout rollout : this.rollouts.values()) {
			TrialPhase phase = rollout.phase(now);
			TrialPhase before = this.publishedPhases.put(rollout.orderVersion(), phase);
			if (phase != before) {
				anyChanged = true;
				logPhase(rollout, phase, now);
			}
		}
		if (anyChanged) {
			this.onChange.run();
		}
	}

	private static void logPhase(Rollout rollout, TrialPhase phase, Duration now) {
		LOG.atInfo()
			.addKeyValue("pool", rollout.order().pool())
			.addKeyValue("to", rollout.order().version())
			.addKeyValue("order", rollout.orderVersion())
			.addKeyValue("phase", phase)
			.addKeyValue("answers", rollout.answers())
			.addKeyValue("streams", rollout.streams())
			.addKeyValue("ageMs", rollout.age(now).toMillis())
			.log("rollout phase changed");
	}

}
