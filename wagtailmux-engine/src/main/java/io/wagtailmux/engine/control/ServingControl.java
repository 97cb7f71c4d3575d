package io.wagtailmux.engine.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.wagtailmux.decision.feed.FeedTiming;
import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.decision.ownership.PoolShards;
import io.wagtailmux.engine.duty.DutySurroundings;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.ServingConfiguration;
import io.wagtailmux.peer.wire.InstanceRecordMessage;
import io.wagtailmux.peer.wire.KnownTableMessage;
import io.wagtailmux.peer.wire.KnownTablesMessage;
import io.wagtailmux.peer.wire.PingMessage;
import io.wagtailmux.peer.wire.RefusalMessage;

/**
 * Owns all control state and publishes a view of it for the traffic thread after each
 * change, once all registered endpoints and all refusals of prompt parts have been read.
 * Changes that happen shortly after each other may be published in one view. Its state is
 * confined to the control thread.
 *
 * @author the wagtailmux developers
 */
public final class ServingControl implements DutySurroundings {

	private static final int INSTANCES_WITHOUT_PAUSE = 13;

	private static final Duration PAUSE_PER_INSTANCE = Duration.ofMillis(8);

	/**
	 * Well below the time within which changes have to take effect, which is two seconds
	 * or more.
	 */
	private static final Duration MAXIMUM_PAUSE_AFTER_CHANGE = Duration.ofMillis(400);

	/** Long enough for both tables to notice a restore. */
	private static final Duration RESTORE_PASS_DELAY = Duration.ofMillis(50);

	private final ScheduledExecutorService control;

	private final EndpointRegistry registry;

	private final OperatorFacts operator;

	private final Membership membership;

	private final RolloutControl rollouts;

	private final RefusalRows refusals;

	private final Consumer<PingMessage> onHeartbeatAnswer;

	private final Consumer<ServingView> viewListener;

	private final LongConsumer onStoreRestored;

	private final PeerFacts peerFacts;

	private boolean restoreScheduled;

	private Set<String> duties = Set.of();

	private boolean publishScheduled;

	private ServingView published = ServingView.EMPTY;

	/**
	 * Creates the control state of an instance that has not read the store yet.
	 * @param self this instance's record
	 * @param codec maps facts to rows of the store
	 * @param store the store
	 * @param client sends heartbeats to other instances; used on the traffic thread
	 * @param control the control thread
	 * @param time the clock
	 * @param timing how long the store waits for changes
	 * @param viewListener receives each new view, on the control thread
	 * @param trials source of this instance's reports on versions under trial
	 * @param exposureShare the largest share of a pool's requests that may reach a faulty
	 * version
	 * @param onHeartbeatAnswer receives the answers of other instances to heartbeats, on
	 * the control thread
	 * @param onRefusalRead receives the refusals of prompt parts that the store holds, on
	 * the control thread
	 * @param onStoreRestored called on the control thread when the store was restored
	 * from a copy, so that what this instance has written may be lost
	 */
	public ServingControl(InstanceRecordMessage self, FactCodec codec, RowStore store, HttpClient client,
			ScheduledExecutorService control, TimeSource time, FeedTiming timing, Consumer<ServingView> viewListener,
			TrialSource trials, double exposureShare, Consumer<PingMessage> onHeartbeatAnswer,
			Consumer<RefusalMessage> onRefusalRead, LongConsumer onStoreRestored) {
		this.control = control;
		this.onHeartbeatAnswer = onHeartbeatAnswer;
		this.refusals = new RefusalRows(store, control, onRefusalRead, this::schedulePublish);
		this.viewListener = viewListener;
		this.onStoreRestored = onStoreRestored;
		this.peerFacts = new PeerFacts(client, control);
		this.registry = new EndpointRegistry(codec, store, control, time, timing, this::pauseAfterChange,
				this::schedulePublish, this::onRestored);
		this.operator = new OperatorFacts(codec, store, control, time, timing, this::pauseAfterChange,
				this::schedulePublish, this::onRestored);
		this.membership = new Membership(self, store, client, control, time, this::schedulePublish,
				this::onHeartbeatAnswer, () -> this.duties);
		this.rollouts = new RolloutControl(
				new DutyCandidate(new InstanceId(self.getInstance()),
						new InstanceCapacity(self.getCores(), self.getLinkMegabits())),
				codec, store, this.operator, this.membership, trials, exposureShare, control, time,
				this::schedulePublish);
	}

	/**
	 * Starts reading the store and sending heartbeats to other instances. Returns at
	 * once; the work happens on the control thread.
	 */
	public void start() {
		this.control.execute(() -> {
			this.membership.start((others) -> this.peerFacts.ask(others, this::adopt, () -> {
				this.operator.start();
				this.registry.start();
			}));
			this.rollouts.start();
			this.refusals.start();
		});
	}

	/**
	 * Returns what this instance knows of the operator's and the endpoints' rows. May be
	 * called on any thread.
	 * @return the tables; none until they have been read
	 */
	public CompletableFuture<KnownTablesMessage> knownTables() {
		return CompletableFuture.supplyAsync(() -> {
			List<TableMirror> mirrors = List.of(this.operator.mirror(), this.registry.mirror());
			boolean complete = mirrors.stream().allMatch(TableMirror::complete);
			return new KnownTablesMessage(complete ? mirrors.stream().map(TableMirror::message).toList() : List.of());
		}, this.control);
	}

	/**
	 * Adopts the record of another instance. May be called on any thread.
	 * @param record what the instance sent with a heartbeat
	 */
	public void onIntroduction(InstanceRecordMessage record) {
		this.control.execute(() -> this.membership.onIntroduction(record));
	}

	@Override
	public List<InstancePeer> alive() {
		return this.membership.alive();
	}

	@Override
	public Set<InstanceId> possiblyAlive() {
		return this.membership.possiblyAliveOthers();
	}

	@Override
	public ServingView view() {
		return this.published;
	}

	private void adopt(KnownTablesMessage known) {
		for (KnownTableMessage table : known.getTables()) {
			for (TableMirror mirror : List.of(this.operator.mirror(), this.registry.mirror())) {
				mirror.adoptIfSameTable(table);
			}
		}
	}

	/**
	 * Has everything that instances wrote checked and written again. Both tables find out
	 * at about the same time; one pass serves both.
	 */
	private void onRestored() {
		if (this.restoreScheduled) {
			return;
		}
		this.restoreScheduled = true;
		this.control.schedule(() -> {
			this.restoreScheduled = false;
			this.membership.onRestored();
			this.rollouts.onRestored();
			this.refusals.onRestored();
			this.onStoreRestored.accept(this.operator.mirror().position().era());
		}, RESTORE_PASS_DELAY.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Stores a refusal of prompt parts. Returns at once; the write starts on the control
	 * thread.
	 * @param refusal the refusal
	 */
	public void saveRefusal(RefusalMessage refusal) {
		this.control.execute(() -> this.refusals.save(refusal));
	}

	/**
	 * Removes this instance's row from the store. Returns at once; the removal starts on
	 * the control thread.
	 */
	public void deregister() {
		this.control.execute(this.membership::deregister);
	}

	/**
	 * Returns how long further changes of a table may accumulate before they are read.
	 * The store charges for each call, and the number of calls grows with the number of
	 * instances times the number of changes; with many instances, changes are therefore
	 * read a little later.
	 * @return the pause after a change was read
	 */
	private Duration pauseAfterChange() {
		int instances = this.membership.alive().size() + 1;
		Duration pause = PAUSE_PER_INSTANCE.multipliedBy(Math.max(0, instances - INSTANCES_WITHOUT_PAUSE));
		return (pause.compareTo(MAXIMUM_PAUSE_AFTER_CHANGE) < 0) ? pause : MAXIMUM_PAUSE_AFTER_CHANGE;
	}

	/**
	 * Determines the duties that one instance performs for all: owning a shard of a pool
	 * that runs stages in batches, or writing the status of a pool's rollout.
	 * @return the names of the duties
	 */
	private Set<String> findDuties() {
		Set<String> duties = new HashSet<>();
		this.operator.configuration()
			.map(ServingConfiguration::pools)
			.orElse(Map.of())
			.forEach((id, pool) -> pool.batch()
				.map((capacity) -> PoolShards.divide(id, this.registry.endpointsOf(id), capacity))
				.orElse(List.of())
				.forEach((shard) -> duties.add(shard.duty())));
		this.operator.rollouts().values().forEach((order) -> duties.add(order.pool().value()));
		return duties;
	}

	private void onHeartbeatAnswer(PingMessage answer) {
		this.rollouts.onHeartbeatAnswer(answer);
		this.onHeartbeatAnswer.accept(answer);
	}

	private void schedulePublish() {
		if (!this.publishScheduled) {
			this.publishScheduled = true;
			this.control.execute(this::publish);
		}
	}

	private void publish() {
		this.publishScheduled = false;
		this.duties = findDuties();
		if (!this.registry.complete() || !this.refusals.complete()) {
			return;
		}
		this.published = new ServingView(this.operator.configuration(), Map.copyOf(this.registry.endpoints()),
				this.operator.evacuated(), this.rollouts.trials(), this.membership.alive(),
				this.membership.possiblyAlive());
		this.viewListener.accept(this.published);
	}

}
