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

import io.wagtailmux.decision.RendezvousHash;
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
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.PingMessage;

/**
 * Brings ordered moves to other versions to a verdict. It belongs to the control thread.
 *
 * <p>
 * The instance that comes first by rendezvous hash tells the operator. That needs no
 * lease: each telling names the version of the row that it replaces, so that of two
 * verdicts the first one stands, and one that was lost on its way is read again before
 * anything else is told.
 *
 * @author the wagtailmux developers
 */
final class RolloutControl {

	private static final Logger LOG = LoggerFactory.getLogger(RolloutControl.class);

	/** The last steps of a move that was ordered for some seconds are this close. */
	private static final Duration TICK = Duration.ofMillis(100);

	/** What was told is read this often, while it may change; each call is priced. */
	private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

	private final InstanceId self;

	private final FactCodec codec;

	private final RowStore store;

	private final OperatorFacts operator;

	private final Membership membership;

	private final TrialSource own;

	private final double exposureShare;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final Runnable changed;

	private final Map<Long, Rollout> rollouts = new HashMap<>();

	private final Map<Long, TrialPhase> published = new HashMap<>();

	private Duration nextRead = Duration.ZERO;

	private boolean calling;

	RolloutControl(InstanceId self, FactCodec codec, RowStore store, OperatorFacts operator, Membership membership,
			TrialSource own, double exposureShare, ScheduledExecutorService control, TimeSource time,
			Runnable changed) {
		this.self = self;
		this.codec = codec;
		this.store = store;
		this.operator = operator;
		this.membership = membership;
		this.own = own;
		this.exposureShare = exposureShare;
		this.control = control;
		this.time = time;
		this.changed = changed;
	}

	void start() {
		this.control.scheduleWithFixedDelay(this::tickGuarded, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the moves for traffic.
	 * @return the newest order of each pool
	 */
	Map<PoolId, VersionTrial> trials() {
		takeOrders();
		Duration now = this.time.elapsed();
		Map<PoolId, VersionTrial> trials = new HashMap<>();
		for (Rollout rollout : this.rollouts.values()) {
			trials.merge(rollout.order().pool(), rollout.trial(now),
					(first, second) -> (first.order() > second.order()) ? first : second);
		}
		return trials;
	}

	/**
	 * Takes what another instance said.
	 * @param ping its answer
	 */
	void heard(PingMessage ping) {
		if (ping.isSetTrials()) {
			String instance = ping.getSender().getInstance() + "@" + ping.getSender().getBoot();
			take(instance, TrialMessages.reports(ping));
		}
	}

	private void tickGuarded() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			LOG.atError().setCause(ex).log("moves to other versions not looked at");
		}
	}

	private void tick() {
		takeOrders();
		if (this.rollouts.isEmpty()) {
			return;
		}
		this.own.collect((reports) -> this.control.execute(() -> take(this.self.value(), reports)));
		if (this.calling) {
			return;
		}
		Duration now = this.time.elapsed();
		boolean undecided = this.rollouts.values().stream().anyMatch((rollout) -> !rollout.decided());
		if (undecided && now.compareTo(this.nextRead) >= 0) {
			readStatus();
			return;
		}
		this.rollouts.values().stream().filter(this::isOwn).forEach(this::tellWhatIsDue);
		publishIfChanged();
	}

	private void take(String instance, List<TrialReport> reports) {
		Duration now = this.time.elapsed();
		for (TrialReport report : reports) {
			Rollout rollout = this.rollouts.get(report.order());
			if (rollout != null) {
				rollout.take(instance, report, now);
			}
		}
		publishIfChanged();
	}

	private void takeOrders() {
		Map<Long, OperatorFact.Rollout> orders = this.operator.rollouts();
		this.rollouts.keySet().retainAll(orders.keySet());
		this.published.keySet().retainAll(orders.keySet());
		orders.forEach((version, order) -> this.rollouts.computeIfAbsent(version, (ignored) -> {
			this.nextRead = Duration.ZERO;
			return new Rollout(order, version, this.exposureShare, this.time.elapsed());
		}));
	}

	private boolean isOwn(Rollout rollout) {
		PoolId pool = rollout.order().pool();
		int own = RendezvousHash.of(pool, this.self);
		return this.membership.alive()
			.stream()
			.map(InstancePeer::id)
			.noneMatch((peer) -> RendezvousHash.of(pool, peer) > own);
	}

	private void readStatus() {
		this.calling = true;
		this.store.read(this.codec.statusTable(), "").whenCompleteAsync((page, failure) -> {
			this.calling = false;
			if (failure != null) {
				LOG.atWarn().addKeyValue("why", failure.getMessage()).log("status of moves not read");
				return;
			}
			this.nextRead = this.time.elapsed().plus(READ_INTERVAL);
			this.rollouts.values().forEach((rollout) -> takeStatus(rollout, page));
			publishIfChanged();
		}, this.control);
	}

	private void takeStatus(Rollout rollout, RowPage page) {
		String key = this.codec.rolloutStatusKey(rollout.order().pool());
		Optional<StoredRow> row = page.rows().stream().filter((each) -> each.key().equals(key)).findFirst();
		rollout.told(row.flatMap(this::status), row.map(StoredRow::version).orElse(0L));
	}

	private Optional<RolloutStatus> status(StoredRow row) {
		try {
			return Optional.of(this.codec.rolloutStatus(row));
		}
		catch (ProtocolException ex) {
			LOG.atWarn().addKeyValue("key", row.key()).addKeyValue("why", ex.getMessage()).log("status unreadable");
			return Optional.empty();
		}
	}

	private void tellWhatIsDue(Rollout rollout) {
		Optional<RolloutState> due = rollout.due(this.time.elapsed());
		if (due.isEmpty() || this.calling) {
			return;
		}
		this.calling = true;
		RolloutStatus status = new RolloutStatus(rollout.order().version(), due.get());
		String key = this.codec.rolloutStatusKey(rollout.order().pool());
		this.store.write(this.codec.statusTable(), key, this.codec.encode(status), rollout.statusVersion())
			.whenCompleteAsync((version, failure) -> told(rollout, status, version, failure), this.control);
	}

	private void told(Rollout rollout, RolloutStatus status, Long version, Throwable failure) {
		this.calling = false;
		LOG.atInfo()
			.addKeyValue("pool", rollout.order().pool())
			.addKeyValue("to", status.version())
			.addKeyValue("state", status.state())
			.addKeyValue("tried", rollout.tried())
			.addKeyValue("others", rollout.others())
			.addKeyValue("ageMs", rollout.age(this.time.elapsed()).toMillis())
			.addKeyValue("outcome", (failure != null) ? failure.getMessage() : "row version " + version)
			.log("operator told of a move");
		if (failure != null) {
			rollout.statusUncertain();
			this.nextRead = Duration.ZERO;
			return;
		}
		rollout.told(Optional.of(status), version);
		publishIfChanged();
	}

	private void publishIfChanged() {
		Duration now = this.time.elapsed();
		boolean any = false;
		for (Rollout rollout : this.rollouts.values()) {
			TrialPhase phase = rollout.phase(now);
			TrialPhase before = this.published.put(rollout.orderVersion(), phase);
			if (phase != before) {
				any = true;
				logPhase(rollout, phase, now);
			}
		}
		if (any) {
			this.changed.run();
		}
	}

	private static void logPhase(Rollout rollout, TrialPhase phase, Duration now) {
		LOG.atInfo()
			.addKeyValue("pool", rollout.order().pool())
			.addKeyValue("to", rollout.order().version())
			.addKeyValue("order", rollout.orderVersion())
			.addKeyValue("phase", phase)
			.addKeyValue("tried", rollout.tried())
			.addKeyValue("others", rollout.others())
			.addKeyValue("ageMs", rollout.age(now).toMillis())
			.log("move to another version");
	}

}
