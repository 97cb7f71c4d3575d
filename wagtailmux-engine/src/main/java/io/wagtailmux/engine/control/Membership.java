package io.wagtailmux.engine.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.membership.HeartbeatSchedule;
import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.http.HttpDestination;
import io.wagtailmux.engine.http.OutgoingRequest;
import io.wagtailmux.engine.peer.PeerPath;
import io.wagtailmux.engine.peer.PeerResponseListener;
import io.wagtailmux.engine.peer.ThriftCodec;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowPage;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.port.StoredRow;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.InstanceRecordMessage;
import io.wagtailmux.peer.wire.PingMessage;

/**
 * Tracks the other instances. Each instance has one row in the store, which it writes
 * whenever a read does not return it; heartbeats show which instances are alive. Confined
 * to the control thread.
 *
 * <p>
 * Rows may be wrong in both directions: the row of an instance that died stays until
 * another instance removes it, and an instance that cannot reach the store may have no
 * row. An instance that answers heartbeats is alive, whatever the rows say; one that does
 * not answer counts as possibly alive as long as it has a row. The rows are read rarely
 * if there are many, so an instance sends its record with its heartbeats to another one
 * until that has answered one.
 *
 * @author the wagtailmux developers
 */
public final class Membership {

	private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

	private static final String TABLE = "instances";

	private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

	private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(700);

	/**
	 * An instance that is contacted in every round no longer counts as alive after this
	 * time without an answer, long enough for about two failed heartbeats.
	 */
	private static final Duration SILENCE_LIMIT = Duration.ofMillis(1600);

	/** Era of a store that was never restored. */
	private static final long FIRST_ERA = 1;

	/** The row of an instance that is silent for longer than this is removed. */
	private static final Duration REMOVAL_LIMIT = Duration.ofSeconds(20);

	/**
	 * Pauses after the first reads; instances that start at the same time find each
	 * other's rows at the second or third read.
	 */
	private static final List<Duration> INITIAL_READ_PAUSES = List.of(Duration.ofMillis(700), Duration.ofMillis(800),
			Duration.ofMillis(1500));

	private static final Duration READ_INTERVAL = Duration.ofSeconds(8);

	/**
	 * With more instances than this the rows are read less often, since each read returns
	 * all of them.
	 */
	private static final int INSTANCES_AT_READ_INTERVAL = 16;

	/**
	 * Assumed until the rows have been read; large, so that this instance uses only a
	 * small share of the limits that apply to all instances combined.
	 */
	private static final int ASSUMED_INSTANCES = 64;

	private final InstanceRecordMessage self;

	private final RowStore store;

	private final HttpClient client;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final Runnable onChange;

	private final Consumer<PingMessage> onAnswer;

	private final Map<String, KnownInstance> known = new HashMap<>();

	private final HeartbeatSchedule schedule = new HeartbeatSchedule();

	private final Supplier<Set<String>> duties;

	private Set<InstancePeer> publishedPeers = Set.of();

	private int publishedInstances;

	private int completedReads;

	private Consumer<List<HttpDestination>> whenRead = (others) -> {
	};

	private boolean rowsRead;

	private boolean stopping;

	/**
	 * Creates the membership of an instance; no other instance is known yet.
	 * @param self this instance's record
	 * @param store the store that holds the rows
	 * @param client sends heartbeats; used on the traffic thread
	 * @param control the control thread
	 * @param time the clock
	 * @param onChange called on the control thread when the set of instances that answer
	 * or the number of possible instances has changed
	 * @param onAnswer receives the answers to heartbeats, on the control thread
	 * @param duties returns the names of the duties that one instance performs for all;
	 * the instances responsible for them are contacted in every round
	 */
	Membership(InstanceRecordMessage self, RowStore store, HttpClient client, ScheduledExecutorService control,
			TimeSource time, Runnable onChange, Consumer<PingMessage> onAnswer, Supplier<Set<String>> duties) {
		this.self = self;
		this.store = store;
		this.client = client;
		this.control = control;
		this.time = time;
		this.onChange = onChange;
		this.onAnswer = onAnswer;
		this.duties = duties;
	}

	/**
	 * Starts reading the rows and sending heartbeats.
	 * @param whenRead called once, after the first read, with the addresses of the other
	 * instances that have a row
	 */
	void start(Consumer<List<HttpDestination>> whenRead) {
		this.whenRead = whenRead;
		readRows();
		runHeartbeatRound();
	}

	/**
	 * Removes this instance's row, which is not written again. Heartbeats continue.
	 */
	void deregister() {
		this.stopping = true;
		KnownInstance own = this.known.get(this.self.getInstance());
		if (own != null) {
			remove(own);
		}
	}

	/**
	 * Returns the other instances that answer heartbeats and accept new work: they are
	 * not stopping and have a configuration.
	 * @return the peers, in no particular order
	 */
	List<InstancePeer> alive() {
		Duration now = this.time.elapsed();
		List<DutyCandidate> others = others();
		Set<InstanceId> contactedEveryRound = this.schedule.contactedEveryRound(others, this.duties.get());
		Duration rotationLimit = HeartbeatSchedule.rotationSilenceLimit(others.size(), SILENCE_LIMIT,
				HEARTBEAT_INTERVAL);
		return this.known.values()
			.stream()
			.filter((instance) -> !isSelf(instance) && !instance.refusesNewWork)
			.filter((instance) -> now.minus(instance.answeredAt)
				.compareTo(contactedEveryRound.contains(instance.id()) ? SILENCE_LIMIT : rotationLimit) < 0)
			.map(KnownInstance::peer)
			.toList();
	}

	/**
	 * Returns how many instances may be alive.
	 * @return the number, this instance included; a large number until the rows have been
	 * read
	 */
	int possiblyAlive() {
		if (!this.rowsRead) {
			return ASSUMED_INSTANCES;
		}
		return (int) this.known.values().stream().filter((instance) -> !isSelf(instance)).count() + 1;
	}

	/**
	 * Returns the other instances that may be alive.
	 * @return their ids; none until the rows have been read
	 */
	Set<InstanceId> possiblyAliveOthers() {
		return this.known.values()
			.stream()
			.filter((instance) -> !isSelf(instance))
			.map(KnownInstance::id)
			.collect(Collectors.toSet());
	}

	/**
	 * Reports the other instances once. In a later era of the store, rows may be missing
	 * until their instances have written them again, so that a read without other rows is
	 * repeated once.
	 * @param era the era of the store
	 */
	private void reportFirstRead(long era) {
		List<HttpDestination> others = destinations();
		if (others.isEmpty() && era > FIRST_ERA && this.completedReads == 1) {
			return;
		}
		this.whenRead.accept(others);
		this.whenRead = (ignored) -> {
		};
	}

	private List<HttpDestination> destinations() {
		return this.known.values()
			.stream()
			.filter((instance) -> !isSelf(instance))
			.map((instance) -> instance.destination)
			.toList();
	}

	private List<DutyCandidate> others() {
		return this.known.values()
			.stream()
			.filter((instance) -> !isSelf(instance))
			.map(KnownInstance::candidate)
			.sorted(Comparator.comparing((candidate) -> candidate.id().value()))
			.toList();
	}

	private Duration readInterval() {
		return READ_INTERVAL.multipliedBy(Math.max(INSTANCES_AT_READ_INTERVAL, this.known.size()))
			.dividedBy(INSTANCES_AT_READ_INTERVAL);
	}

	/**
	 * Reads the rows again soon, since the store was restored from a copy that may lack
	 * some, that of this instance included.
	 */
	void onRestored() {
		this.completedReads = 0;
		readRowsOnce();
	}

	private void readRows() {
		readRowsOnce().whenCompleteAsync((page, failure) -> {
			Duration pause = (this.completedReads < INITIAL_READ_PAUSES.size())
					? INITIAL_READ_PAUSES.get(this.completedReads) : readInterval();
			this.control.schedule(this::readRows, pause.toMillis(), TimeUnit.MILLISECONDS);
		}, this.control);
	}

	private CompletableFuture<RowPage> readRowsOnce() {
		CompletableFuture<RowPage> read = this.store.read(TABLE, "");
		read.whenCompleteAsync((page, failure) -> {
			if (failure != null) {
				LOG.atWarn().addKeyValue("why", failure.getMessage()).log("could not read instance rows");
				return;
			}
			this.completedReads++;
			applyRows(page);
			reportFirstRead(page.version().era());
		}, this.control);
		return read;
	}

	private void applyRows(RowPage page) {
		this.rowsRead = true;
		Set<String> seen = new HashSet<>();
		for (StoredRow row : page.rows()) {
			seen.add(row.key());
			applyRow(row);
		}
		this.known.keySet().removeIf((id) -> !seen.contains(id) && !recentlyAnswered(id));
		this.known.values()
			.stream()
			.filter((instance) -> !seen.contains(instance.record.getInstance()))
			.forEach((instance) -> instance.rowVersion = StoreVersion.NONE);
		if (!seen.contains(this.self.getInstance()) && !this.stopping) {
			writeSelf(StoreVersion.NONE);
		}
		publishIfChanged();
	}

	private void applyRow(StoredRow row) {
		try {
			InstanceRecordMessage record = ThriftCodec.decode(row.value(), new InstanceRecordMessage());
			KnownInstance instance = this.known.get(record.getInstance());
			if (instance == null || instance.record.getBoot() != record.getBoot()) {
				instance = new KnownInstance(record, this.time.elapsed());
				this.known.put(record.getInstance(), instance);
			}
			instance.rowVersion = row.version();
			boolean outdated = isSelf(instance) && record.getBoot() != this.self.getBoot();
			if (outdated && !this.stopping) {
				writeSelf(row.version());
			}
		}
		catch (ProtocolException ex) {
			LOG.atWarn()
				.addKeyValue("key", row.key())
				.addKeyValue("why", ex.getMessage())
				.log("could not decode instance row");
		}
	}

	/**
	 * Adopts an instance that introduced itself with its first heartbeats to this one.
	 * Where there are many instances, its row would be read much later.
	 * @param record its record
	 */
	void onIntroduction(InstanceRecordMessage record) {
		KnownInstance earlier = this.known.get(record.getInstance());
		boolean known = earlier != null && earlier.record.getBoot() == record.getBoot();
		if (known || record.getInstance().equals(this.self.getInstance())) {
			return;
		}
		KnownInstance introduced = new KnownInstance(record, this.time.elapsed());
		this.known.put(record.getInstance(), introduced);
		sendHeartbeat(introduced);
	}

	private void writeSelf(StoreVersion expectedVersion) {
		this.store.write(TABLE, this.self.getInstance(), ThriftCodec.encodeToBytes(this.self), expectedVersion)
			.whenCompleteAsync((version, failure) -> {
				if (failure != null) {
					LOG.atWarn().addKeyValue("why", failure.getMessage()).log("could not write own instance row");
				}
			}, this.control);
	}

	private boolean recentlyAnswered(String id) {
		return this.time.elapsed().minus(this.known.get(id).answeredAt).compareTo(REMOVAL_LIMIT) < 0;
	}

	private void runHeartbeatRound() {
		try {
			sendHeartbeats();
		}
		catch (RuntimeException ex) {
			LOG.atError().setCause(ex).log("heartbeat round failed");
		}
		finally {
			this.control.schedule(this::runHeartbeatRound, HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void sendHeartbeats() {
		Duration now = this.time.elapsed();
		Set<InstanceId> contacted = this.schedule.nextRound(others(), this.duties.get());
		for (KnownInstance instance : List.copyOf(this.known.values())) {
			if (!contacted.contains(instance.id())) {
				continue;
			}
			if (now.minus(instance.answeredAt).compareTo(REMOVAL_LIMIT) > 0 && instance.rowVersion.exists()) {
				remove(instance);
				continue;
			}
			sendHeartbeat(instance);
		}
		publishIfChanged();
	}

	private void sendHeartbeat(KnownInstance instance) {
		if (instance.heartbeatPending) {
			return;
		}
		instance.heartbeatPending = true;
		OutgoingRequest.Builder heartbeat = OutgoingRequest.of(HttpMethod.POST, PeerPath.PING.path())
			.timeout(HEARTBEAT_TIMEOUT);
		if (!instance.introduced && !this.stopping) {
			heartbeat.body(ThriftCodec.encode(this.self));
		}
		OutgoingRequest request = heartbeat.build();
		PeerResponseListener call = new PeerResponseListener((body) -> {
			PingMessage answer = ThriftCodec.decode(body, new PingMessage());
			this.control.execute(() -> onHeartbeatAnswer(instance, answer));
		}, (why) -> this.control.execute(() -> instance.heartbeatPending = false));
		this.client.loop().execute("heartbeat", () -> this.client.send(instance.destination, request, call));
	}

	private void onHeartbeatAnswer(KnownInstance instance, PingMessage answer) {
		instance.heartbeatPending = false;
		if (answer.getSender().getInstance().equals(instance.record.getInstance())) {
			instance.answeredAt = this.time.elapsed();
			instance.introduced = true;
			instance.refusesNewWork = answer.isLeaving();
			this.onAnswer.accept(answer);
			// An instance that is and stays alive is by far the most frequent case.
			if (this.publishedPeers.contains(instance.peer()) == instance.refusesNewWork) {
				publishIfChanged();
			}
		}
	}

	private void remove(KnownInstance instance) {
		StoreVersion version = instance.rowVersion;
		instance.rowVersion = StoreVersion.NONE;
		this.store.remove(TABLE, instance.record.getInstance(), version)
			.whenCompleteAsync((done, failure) -> LOG.atInfo()
				.addKeyValue("instance", instance.record.getInstance())
				.addKeyValue("done", failure == null)
				.log("instance row removal finished"), this.control);
	}

	private void publishIfChanged() {
		Set<InstancePeer> alive = Set.copyOf(alive());
		int instances = possiblyAlive();
		if (alive.equals(this.publishedPeers) && instances == this.publishedInstances) {
			return;
		}
		LOG.atInfo()
			.addKeyValue("alive", alive.stream().map((peer) -> peer.id().value()).sorted().toList())
			.addKeyValue("possiblyAlive", instances)
			.log("instances changed");
		this.publishedPeers = alive;
		this.publishedInstances = instances;
		this.onChange.run();
	}

	private boolean isSelf(KnownInstance instance) {
		return instance.record.getInstance().equals(this.self.getInstance());
	}

	/**
	 * State of one instance.
	 */
	private static final class KnownInstance {

		private final InstanceRecordMessage record;

		private final HttpDestination destination;

		private final InstanceCapacity capacity;

		private Duration answeredAt;

		private StoreVersion rowVersion = StoreVersion.NONE;

		private boolean heartbeatPending;

		private boolean introduced;

		private boolean refusesNewWork;

		KnownInstance(InstanceRecordMessage record, Duration now) {
			this.record = record;
			this.capacity = (record.getCores() > 0 && record.getLinkMegabits() > 0)
					? new InstanceCapacity(record.getCores(), record.getLinkMegabits()) : InstanceCapacity.DEFAULT;
			this.destination = new HttpDestination(new InetSocketAddress(record.getHost(), record.getPort()));
			// A row does not show that the instance is still alive. Until it has answered
			// once, it does not count as alive if it is contacted in every round; the
			// limit for instances in rotation is longer.
			this.answeredAt = now.minus(SILENCE_LIMIT);
		}

		DutyCandidate candidate() {
			return new DutyCandidate(id(), this.capacity);
		}

		InstanceId id() {
			return new InstanceId(this.record.getInstance());
		}

		InstancePeer peer() {
			return new InstancePeer(id(), this.destination.address(), new AvailabilityZoneId(this.record.getZone()),
					this.capacity);
		}

	}

}
