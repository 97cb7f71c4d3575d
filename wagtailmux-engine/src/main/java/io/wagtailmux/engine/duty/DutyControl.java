package io.wagtailmux.engine.duty;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.capacity.DemandSample;
import io.wagtailmux.decision.duty.ClockReading;
import io.wagtailmux.decision.duty.Duty;
import io.wagtailmux.decision.duty.DutyHolder;
import io.wagtailmux.decision.duty.DutyLease;
import io.wagtailmux.decision.duty.DutyPermit;
import io.wagtailmux.decision.duty.FencingToken;
import io.wagtailmux.decision.duty.LeaseWish;
import io.wagtailmux.decision.duty.TrueClock;
import io.wagtailmux.decision.duty.UsageCollection;
import io.wagtailmux.decision.duty.UsageCounter;
import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.port.DutyReceiver;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.ModelException;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.PingMessage;
import io.wagtailmux.peer.wire.UsageConfirmationMessage;
import io.wagtailmux.peer.wire.UsagePushMessage;

/**
 * One instance's part in the duties that one instance performs for all: keeps the lease
 * if it is this instance's turn, sends its counts to the instances that collect them, and
 * lets the parts for the single duties act while it is the holder. Confined to the
 * control thread unless a method states otherwise.
 *
 * @author the wagtailmux developers
 */
public final class DutyControl {

	private static final Logger LOG = LoggerFactory.getLogger(DutyControl.class);

	/** Name by which instances are ranked. */
	private static final String RANKING = "duties";

	private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

	/** The holder and the one that would follow. */
	private static final int COLLECTORS = 2;

	/**
	 * A window is over for this instance a little later, since the estimate of the true
	 * time may still move.
	 */
	private static final Duration CLOCK_UNCERTAINTY = Duration.ofMillis(300);

	private final DutyCandidate self;

	private final DutyHolder holder;

	private final DutySettings settings;

	private final RowStore store;

	private final DutySurroundings surroundings;

	private final TrafficLoop traffic;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final DutyMetrics metrics;

	private final TrueClock trueClock = new TrueClock();

	private final LeaseKeeper lease;

	private final UsageCounter counter;

	private final UsageCollection collection;

	private final UsageReporting usage;

	private final CapacityOrdering capacity;

	private final UsagePush push;

	private final Supplier<Map<PoolId, DemandSample>> demands;

	private final FitnessForDuties fitness = new FitnessForDuties();

	private Duration nextPush = Duration.ZERO;

	private Optional<Duration> notFirstSince = Optional.empty();

	private boolean stopping;

	private volatile HeartbeatFacts heartbeatFacts = new HeartbeatFacts(FencingToken.NONE, Optional.empty(), false);

	/**
	 * Creates the part of an instance that holds no duties yet.
	 * @param self this instance as a candidate
	 * @param incarnation distinguishes this process from former ones of the instance
	 * @param settings the duties and their times
	 * @param store the store that holds the lease and the reports
	 * @param receiver the receiver of the holder's calls
	 * @param surroundings the other instances and the endpoints
	 * @param demands returns this instance's demand for each pool; called on the traffic
	 * thread
	 * @param client sends counts to other instances
	 * @param control the control thread
	 * @param time the clocks
	 * @param registry the registry that the metrics are added to
	 */
	public DutyControl(DutyCandidate self, long incarnation, DutySettings settings, RowStore store,
			DutyReceiver receiver, DutySurroundings surroundings, Supplier<Map<PoolId, DemandSample>> demands,
			HttpClient client, ScheduledExecutorService control, TimeSource time, MetricRegistry registry) {
		this.self = self;
		this.holder = new DutyHolder(self.id(), incarnation);
		this.settings = settings;
		this.store = store;
		this.surroundings = surroundings;
		this.demands = demands;
		this.traffic = client.loop();
		this.control = control;
		this.time = time;
		this.metrics = new DutyMetrics(registry);
		UnexpectedErrors errors = this.traffic.errors();
		this.lease = new LeaseKeeper(new DutyLease(this.holder, settings.lease()), store, this.fitness, control, time,
				errors);
		this.collection = new UsageCollection(settings.usage());
		this.counter = new UsageCounter(settings.usage(), this.trueClock.trueLessElapsed(ClockReading.of(time)));
		this.usage = new UsageReporting(self.id(), settings.usage(), this.collection, store, receiver, control, time,
				this.metrics, errors);
		this.capacity = new CapacityOrdering(self.id(), receiver, control, time, this.metrics, errors);
		this.push = new UsagePush(this.holder, client);
	}

	/**
	 * Starts. May be called on any thread.
	 */
	public void start() {
		this.store.onStoreTime((sentAt, receivedAt, storeTime) -> this.control.execute(() -> {
			this.fitness.onStoreAnswer();
			this.trueClock.onStoreTime(sentAt, receivedAt, storeTime);
		}));
		this.control.scheduleWithFixedDelay(this::runTick, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Gives the duties up, since this instance stops. Its counts are still sent. May be
	 * called on any thread.
	 */
	public void stop() {
		this.control.execute(() -> this.stopping = true);
	}

	/**
	 * Sends the last counts before this instance ends. May be called on any thread.
	 */
	public void sendLastCounts() {
		this.control.execute(this::pushCounts);
	}

	/**
	 * Returns the counter of this instance's requests.
	 * @return the counter, to be used on the traffic thread
	 */
	public UsageCounter counter() {
		return this.counter;
	}

	/**
	 * Adds what other instances need to know to a heartbeat message. May be called on any
	 * thread.
	 * @param message the message
	 */
	public void addTo(PingMessage message) {
		HeartbeatFacts facts = this.heartbeatFacts;
		message.setDutyToken(facts.token().value());
		message.setUnfitForDuties(facts.unfit());
		facts.difference().ifPresent((difference) -> message.setWallLessStoreMilliseconds(difference.toMillis()));
	}

	/**
	 * Accepts what another instance tells with a heartbeat.
	 * @param message the message
	 */
	public void onHeartbeat(PingMessage message) {
		InstanceId sender = new InstanceId(message.getSender().getInstance());
		this.fitness.onStatement(sender, message.isUnfitForDuties(), this.time.elapsed());
		if (message.isSetDutyToken()) {
			this.lease.onTokenHeard(new FencingToken(message.getDutyToken()));
		}
		if (message.isSetWallLessStoreMilliseconds()) {
			this.trueClock.onDifference(sender, Duration.ofMillis(message.getWallLessStoreMilliseconds()),
					ClockReading.of(this.time));
		}
	}

	/**
	 * Accepts counts of another instance. May be called on any thread.
	 * @param message the counts
	 * @return the confirmation
	 */
	public UsageConfirmationMessage onCounts(UsagePushMessage message) {
		this.control.execute(() -> {
			try {
				DutyHolder source = new DutyHolder(new InstanceId(message.getInstance()), message.getBoot());
				message.getWindows()
					.forEach((window) -> merge(source, window.getWindow(), DutyMessages.counts(window)));
				this.collection.onCurrentWindow(source.instance(), message.getCurrentWindow());
				DutyMessages.demands(message).forEach((pool, sample) -> this.capacity.onDemand(source, pool, sample));
			}
			catch (ModelException ex) {
				LOG.atWarn().addKeyValue("why", ex.getMessage()).log("usage of an instance not decoded");
			}
		});
		return new UsageConfirmationMessage(this.holder.incarnation()).setUnfit(this.heartbeatFacts.unfit());
	}

	private void merge(DutyHolder source, long window, Map<OrganisationId, Long> counts) {
		this.usage.onCounts(window, this.collection.merge(source, window, counts));
	}

	private void runTick() {
		this.traffic.errors().run("update of duties", this::tick);
	}

	private void tick() {
		ClockReading now = ClockReading.of(this.time);
		Duration offset = this.trueClock.trueLessElapsed(now);
		this.traffic.execute("true time", () -> this.counter.adjust(offset));
		if (now.elapsed().compareTo(this.nextPush) >= 0) {
			this.nextPush = now.elapsed()
				.plus(UsagePush.interval(this.surroundings.possiblyAlive().size() + 1, this.settings.usage()));
			pushCounts();
		}
		this.lease.advance(now, wish(now.elapsed()), this.usage.isSending() || this.capacity.isSending());
		this.lease.permit(now).ifPresent((permit) -> act(permit, offset));
		this.heartbeatFacts = new HeartbeatFacts(this.lease.highestKnown(), this.trueClock.difference(now),
				this.fitness.isUnfit());
		this.metrics.update(this.lease.highestKnown().value(), this.lease.token().isPresent(),
				this.lease.age(now).toMillis(), this.collection.openWindows());
	}

	private void act(DutyPermit permit, Duration trueLessElapsed) {
		if (this.settings.duties().contains(Duty.USAGE)) {
			this.usage.advance(permit, expected(), trueLessElapsed);
		}
		if (this.settings.duties().contains(Duty.CAPACITY)) {
			this.capacity.advance(permit, this.surroundings.view());
		}
	}

	private Set<InstanceId> expected() {
		Set<InstanceId> expected = new HashSet<>(this.surroundings.possiblyAlive());
		expected.add(this.self.id());
		this.collection.retain(expected);
		return expected;
	}

	private void pushCounts() {
		this.traffic.execute("usage counts", () -> {
			long current = this.counter.currentWindow(this.time.elapsed().minus(CLOCK_UNCERTAINTY));
			OwnCounts counts = new OwnCounts(current, this.counter.counts(), this.demands.get());
			this.control.execute(() -> push(counts));
		});
	}

	private void push(OwnCounts counts) {
		counts.usage().forEach((window, ofWindow) -> merge(this.holder, window, ofWindow));
		counts.demands().forEach((pool, sample) -> this.capacity.onDemand(this.holder, pool, sample));
		this.collection.onCurrentWindow(this.self.id(), counts.currentWindow());
		List<InstancePeer> alive = fitPeers();
		List<InstanceId> collectors = DutyCandidate
			.first(Stream.concat(Stream.of(this.self), alive.stream().map(InstancePeer::candidate)).toList(), RANKING,
					COLLECTORS)
			.stream()
			.map(DutyCandidate::id)
			.toList();
		this.push.retain(collectors);
		alive.stream()
			.filter((peer) -> collectors.contains(peer.id()))
			.forEach((peer) -> this.push.send(peer, counts,
					(answer) -> this.control.execute(() -> onConfirmed(peer.id(), answer, counts.currentWindow()))));
	}

	private void onConfirmed(InstanceId instance, UsageConfirmationMessage answer, long current) {
		this.push.confirm(instance, answer.getBoot(), current);
		this.fitness.onStatement(instance, answer.isUnfit(), this.time.elapsed());
	}

	private List<InstancePeer> fitPeers() {
		return this.fitness.fit(this.surroundings.alive(), this.time.elapsed());
	}

	/**
	 * Returns whether this instance should hold the duties. An instance of higher rank
	 * takes them over only after it has been there for a while.
	 * @param now the elapsed time
	 * @return the wish
	 */
	private LeaseWish wish(Duration now) {
		if (this.stopping) {
			return LeaseWish.RELEASE;
		}
		boolean first = fitPeers().stream()
			.map(InstancePeer::candidate)
			.noneMatch((peer) -> this.self.yieldsTo(peer, RANKING));
		if (first || this.fitness.isUnfit()) {
			this.notFirstSince = Optional.empty();
			return LeaseWish.TAKE;
		}
		Duration since = this.notFirstSince.orElse(now);
		this.notFirstSince = Optional.of(since);
		boolean handsOver = now.minus(since).compareTo(this.settings.lease().handoverDelay()) >= 0;
		return handsOver ? LeaseWish.RELEASE : LeaseWish.KEEP;
	}

	/**
	 * What heartbeats tell other instances.
	 *
	 * @param token the largest token that is known
	 * @param difference how far the own wall clock is ahead of the store's
	 * @param unfit whether this instance should not hold duties
	 */
	private record HeartbeatFacts(FencingToken token, Optional<Duration> difference, boolean unfit) {

	}

}
