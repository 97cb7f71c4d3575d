package io.wagtailmux.engine.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.membership.HeartbeatSchedule;
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
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.InstanceRecordMessage;
import io.wagtailmux.peer.wire.PingMessage;

/**
 * Which instances there are. Each writes one row at its start; who is alive is found by
 * asking.
 *
 * <p>
 * Rows may be wrong both ways: an instance that died keeps its row until another one
 * removes it, and one that cannot reach the store may have none. An instance that answers
 * is alive, whatever the rows say; one that does not counts as possibly alive as long as
 * its row is there.
 *
 * @author the wagtailmux developers
 */
public final class Membership {

	private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

	private static final String TABLE = "instances";

	private static final Duration PING_INTERVAL = Duration.ofMillis(500);

	private static final Duration PING_TIMEOUT = Duration.ofMillis(700);

	/** Two pings that fail, one after the other. */
	private static final Duration SILENCE_LIMIT = Duration.ofMillis(1600);

	private static final Duration REMOVAL_LIMIT = Duration.ofSeconds(20);

	/**
	 * Instances that start together find each other's rows at the second or third read.
	 */
	private static final List<Duration> READ_PAUSES = List.of(Duration.ofMillis(700), Duration.ofMillis(800),
			Duration.ofMillis(1500));

	private static final Duration READ_INTERVAL = Duration.ofSeconds(8);

	/** All rows are read, so with more instances they are read less often. */
	private static final int INSTANCES_AT_READ_INTERVAL = 16;

	/**
	 * An instance that has not read the rows takes a share as small as in a large system.
	 */
	private static final int UNKNOWN_INSTANCES = 64;

	private final InstanceRecordMessage self;

	private final RowStore store;

	private final HttpClient client;

	private final ScheduledExecutorService control;

	private final TimeSource time;

	private final Runnable changed;

	private final Consumer<PingMessage> heard;

	private final Map<String, KnownInstance> known = new HashMap<>();

	private final HeartbeatSchedule schedule = new HeartbeatSchedule();

	private final Supplier<Set<String>> duties;

	private Set<InstancePeer> published = Set.of();

	private int publishedInstances;

	private int reads;

	private boolean rowsRead;

	private boolean leaving;

	/**
	 * Creates the membership of an instance.
	 * @param self this instance's record
	 * @param store where the rows are
	 * @param client asks others; used on the traffic thread
	 * @param control the control thread
	 * @param time the clock
	 * @param changed hears when other instances came or went
	 * @param heard takes what other instances answer, on the control thread
	 * @param duties tells the names of what one instance does for all
	 */
	Membership(InstanceRecordMessage self, RowStore store, HttpClient client, ScheduledExecutorService control,
			TimeSource time, Runnable changed, Consumer<PingMessage> heard, Supplier<Set<String>> duties) {
		this.self = self;
		this.store = store;
		this.client = client;
		this.control = control;
		this.time = time;
		this.changed = changed;
		this.heard = heard;
		this.duties = duties;
	}

	void start() {
		readRows();
		pingAgain();
	}

	void leave() {
		this.leaving = true;
		KnownInstance own = this.known.get(this.self.getInstance());
		if (own != null) {
			remove(own);
		}
	}

	/**
	 * Returns the other instances that answer.
	 * @return the peers
	 */
	List<InstancePeer> alive() {
		Duration now = this.time.elapsed();
		List<InstanceId> others = others();
		Set<InstanceId> askedAlways = this.schedule.contactedEveryRound(others, this.duties.get());
		Duration inTurn = HeartbeatSchedule.rotationSilenceLimit(others.size(), SILENCE_LIMIT, PING_INTERVAL);
		return this.known.values()
			.stream()
			.filter((instance) -> !isSelf(instance) && !instance.leaving)
			.filter((instance) -> now.minus(instance.answeredAt)
				.compareTo(askedAlways.contains(instance.id()) ? SILENCE_LIMIT : inTurn) < 0)
			.map(KnownInstance::peer)
			.toList();
	}

	/**
	 * Returns how many instances may be alive.
	 * @return the number, this instance included
	 */
	int possiblyAlive() {
		if (!this.rowsRead) {
			return UNKNOWN_INSTANCES;
		}
		return (int) this.known.values().stream().filter((instance) -> !isSelf(instance)).count() + 1;
	}

	private List<InstanceId> others() {
		return this.known.values()
			.stream()
			.filter((instance) -> !isSelf(instance))
			.map(KnownInstance::id)
			.sorted(Comparator.comparing(InstanceId::value))
			.toList();
	}

	private Duration readInterval() {
		return READ_INTERVAL.multipliedBy(Math.max(INSTANCES_AT_READ_INTERVAL, this.known.size()))
			.dividedBy(INSTANCES_AT_READ_INTERVAL);
	}

	private void readRows() {
		this.store.read(TABLE, "").whenCompleteAsync((page, failure) -> {
			Duration pause = (this.reads < READ_PAUSES.size()) ? READ_PAUSES.get(this.reads) : readInterval();
			this.control.schedule(this::readRows, pause.toMillis(), TimeUnit.MILLISECONDS);
			if (failure != null) {
				LOG.atWarn().addKeyValue("why", failure.getMessage()).log("instances not read");
				return;
			}
			this.reads++;
			take(page);
		}, this.control);
	}

	private void take(RowPage page) {
		this.rowsRead = true;
		Set<String> seen = new HashSet<>();
		for (StoredRow row : page.rows()) {
			seen.add(row.key());
			take(row);
		}
		this.known.keySet().removeIf((id) -> !seen.contains(id) && !recentlyAnswered(id));
		if (!seen.contains(this.self.getInstance()) && !this.leaving) {
			writeSelf(0);
		}
		publishIfChanged();
	}

	private void take(StoredRow row) {
		try {
			InstanceRecordMessage record = ThriftCodec.decode(row.value(), new InstanceRecordMessage());
			KnownInstance instance = this.known.get(record.getInstance());
			if (instance == null || instance.record.getBoot() != record.getBoot()) {
				instance = new KnownInstance(record, this.time.elapsed());
				this.known.put(record.getInstance(), instance);
			}
			instance.rowVersion = row.version();
			boolean outdated = isSelf(instance) && record.getBoot() != this.self.getBoot();
			if (outdated && !this.leaving) {
				writeSelf(row.version());
			}
		}
		catch (ProtocolException ex) {
			LOG.atWarn().addKeyValue("key", row.key()).addKeyValue("why", ex.getMessage()).log("row unreadable");
		}
	}

	private void writeSelf(long expectedVersion) {
		this.store.write(TABLE, this.self.getInstance(), ThriftCodec.encodeToBytes(this.self), expectedVersion)
			.whenCompleteAsync((version, failure) -> {
				if (failure != null) {
					LOG.atWarn().addKeyValue("why", failure.getMessage()).log("own row not written");
				}
			}, this.control);
	}

	private boolean recentlyAnswered(String id) {
		return this.time.elapsed().minus(this.known.get(id).answeredAt).compareTo(REMOVAL_LIMIT) < 0;
	}

	private void pingAgain() {
		try {
			ping();
		}
		catch (RuntimeException ex) {
			LOG.atError().setCause(ex).log("instances not asked");
		}
		finally {
			this.control.schedule(this::pingAgain, PING_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void ping() {
		Duration now = this.time.elapsed();
		Set<InstanceId> asked = this.schedule.nextRound(others(), this.duties.get());
		for (KnownInstance instance : List.copyOf(this.known.values())) {
			if (!asked.contains(instance.id())) {
				continue;
			}
			if (now.minus(instance.answeredAt).compareTo(REMOVAL_LIMIT) > 0 && instance.rowVersion > 0) {
				remove(instance);
				continue;
			}
			ping(instance);
		}
		publishIfChanged();
	}

	private void ping(KnownInstance instance) {
		if (instance.pinging) {
			return;
		}
		instance.pinging = true;
		OutgoingRequest request = OutgoingRequest.of(HttpMethod.POST, PeerPath.PING.path())
			.timeout(PING_TIMEOUT)
			.build();
		PeerResponseListener call = new PeerResponseListener((body) -> {
			PingMessage answer = ThriftCodec.decode(body, new PingMessage());
			this.control.execute(() -> answered(instance, answer));
		}, (why) -> this.control.execute(() -> instance.pinging = false));
		this.client.loop().execute(() -> this.client.send(instance.destination, request, call));
	}

	private void answered(KnownInstance instance, PingMessage answer) {
		instance.pinging = false;
		if (answer.getSender().getInstance().equals(instance.record.getInstance())) {
			instance.answeredAt = this.time.elapsed();
			instance.leaving = answer.isLeaving();
			this.heard.accept(answer);
			publishIfChanged();
		}
	}

	private void remove(KnownInstance instance) {
		long version = instance.rowVersion;
		instance.rowVersion = 0;
		this.store.remove(TABLE, instance.record.getInstance(), version)
			.whenCompleteAsync((done, failure) -> LOG.atInfo()
				.addKeyValue("instance", instance.record.getInstance())
				.addKeyValue("done", failure == null)
				.log("row of an instance removed"), this.control);
	}

	private void publishIfChanged() {
		Set<InstancePeer> alive = Set.copyOf(alive());
		int instances = possiblyAlive();
		if (alive.equals(this.published) && instances == this.publishedInstances) {
			return;
		}
		LOG.atInfo()
			.addKeyValue("alive", alive.stream().map((peer) -> peer.id().value()).sorted().toList())
			.addKeyValue("possiblyAlive", instances)
			.log("instances");
		this.published = alive;
		this.publishedInstances = instances;
		this.changed.run();
	}

	private boolean isSelf(KnownInstance instance) {
		return instance.record.getInstance().equals(this.self.getInstance());
	}

	/**
	 * What is known of one instance.
	 */
	private static final class KnownInstance {

		private final InstanceRecordMessage record;

		private final HttpDestination destination;

		private Duration answeredAt;

		private long rowVersion;

		private boolean pinging;

		private boolean leaving;

		KnownInstance(InstanceRecordMessage record, Duration now) {
			this.record = record;
			this.destination = new HttpDestination(new InetSocketAddress(record.getHost(), record.getPort()));
			// A row says that the instance was there; until it has answered once, it is
			// not given work.
			this.answeredAt = now.minus(SILENCE_LIMIT);
		}

		InstanceId id() {
			return new InstanceId(this.record.getInstance());
		}

		InstancePeer peer() {
			return new InstancePeer(id(), this.destination.address(), new AvailabilityZoneId(this.record.getZone()));
		}

	}

}
