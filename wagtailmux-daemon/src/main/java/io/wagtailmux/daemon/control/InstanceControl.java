package io.wagtailmux.daemon.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.daemon.caller.ControlView;
import io.wagtailmux.daemon.endpoint.CallResult;
import io.wagtailmux.daemon.endpoint.EndpointClient;
import io.wagtailmux.daemon.settings.InstanceSettings;
import io.wagtailmux.daemon.traffic.CallListener;
import io.wagtailmux.daemon.traffic.PoolGate;
import io.wagtailmux.daemon.traffic.PoolGates;
import io.wagtailmux.daemon.traffic.TrafficView;
import io.wagtailmux.decision.Assignment;
import io.wagtailmux.decision.lease.HeldSlots;
import io.wagtailmux.decision.lease.LeaseValue;
import io.wagtailmux.decision.limit.ShareGrant;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.StageProtocol;
import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.PeerClient;
import io.wagtailmux.peer.PeerException;
import io.wagtailmux.peer.PeerServer;
import io.wagtailmux.peer.PeerService;
import io.wagtailmux.peer.wire.ConfigurationMessage;
import io.wagtailmux.peer.wire.DigestMessage;
import io.wagtailmux.peer.wire.ShareGrantMessage;
import io.wagtailmux.peer.wire.ShareReportMessage;
import io.wagtailmux.store.ListedInstance;
import io.wagtailmux.store.Platform;
import io.wagtailmux.store.configuration.AcceptedConfiguration;
import io.wagtailmux.store.configuration.ConfigurationStore;

/**
 * The control state of an instance: the configuration in force, its slots, its part in
 * limiting endpoints, its peers, and what all that lets traffic do.
 *
 * <p>
 * The control thread owns the state and waits for nothing; calls to the platform, to
 * peers and to endpoints run on other threads and post what they found.
 *
 * @author the wagtailmux developers
 */
public final class InstanceControl implements ControlView, PeerService, CallListener, AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(InstanceControl.class);

	private static final Duration TICK = Duration.ofMillis(50);

	private static final Duration IDLE_REPORT_INTERVAL = Duration.ofMillis(200);

	private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

	private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(1);

	private static final Duration CONFIGURATION_INTERVAL = Duration.ofMillis(900);

	private static final Duration SLOT_INTERVAL = Duration.ofMillis(1500);

	private static final Duration UNSETTLED_SLOT_INTERVAL = Duration.ofMillis(250);

	private static final Duration ANSWER_PATIENCE = Duration.ofMillis(500);

	private static final int EXCHANGE_PEERS = 3;

	private final AtomicReference<TrafficView> view = new AtomicReference<>(TrafficView.NONE);

	private final ControlThread control = new ControlThread("control");

	private final ControlThread platformThread = new ControlThread("platform-calls");

	private final LimiterControl limiter = new LimiterControl();

	private final PeerCalls peerCalls = new PeerCalls();

	private final InstanceSettings settings;

	private final TimeSource time;

	private final PoolGates gates;

	private final ShareControl shares;

	private final ShareExchange shareExchange;

	private final PeerDirectory peers;

	private final EndpointProber prober;

	private final ConfigurationPoller poller;

	private final PeerServer peerServer;

	private final PlatformControl platformControl;

	private HeldSlots held = HeldSlots.NONE;

	private SlotIndex slots = SlotIndex.NONE;

	private Duration lastReport = Duration.ZERO;

	private volatile boolean slotsSettled;

	private volatile boolean leaving;

	/**
	 * Creates the control state of an instance that has no configuration yet.
	 * @param settings the instance's settings
	 * @param platform the platform's services
	 * @param client calls endpoints
	 * @param time the clock
	 */
	public InstanceControl(InstanceSettings settings, Platform platform, EndpointClient client, TimeSource time) {
		this.settings = settings;
		this.time = time;
		this.gates = new PoolGates(settings.policy(), time);
		this.shares = new ShareControl(settings.id(), settings.zone());
		this.peers = new PeerDirectory(settings.id());
		this.shareExchange = new ShareExchange(settings.id(), this.shares, this.limiter, this.peerCalls, this.control,
				time, this::updateGates);
		this.prober = new EndpointProber(client,
				(endpoint, boot) -> this.control.post(() -> this.limiter.booted(endpoint, boot)));
		this.poller = new ConfigurationPoller(new ConfigurationStore(platform, time),
				(accepted) -> this.control.post(() -> apply(accepted)));
		this.peerServer = listenForPeers(settings);
		this.platformControl = new PlatformControl(platform, time, settings.id(), peerAddress());
	}

	/**
	 * Binds the port for peers; if that fails, ends the threads of this control state.
	 * @param instance the instance's settings
	 * @return the server, which answers nobody yet
	 */
	private PeerServer listenForPeers(InstanceSettings instance) {
		try {
			return new PeerServer(new InetSocketAddress(instance.peers().host(), instance.peers().port()), this);
		}
		catch (PeerException ex) {
			this.platformThread.close();
			this.control.close();
			this.peerCalls.close();
			this.prober.close();
			throw ex;
		}
	}

	/**
	 * Starts to follow the platform and the peers.
	 */
	public void start() {
		this.platformThread.every(CONFIGURATION_INTERVAL, this.poller);
		this.platformThread.post(this::keepSlotsAgainAndAgain);
		this.peerServer.start();
		this.control.every(TICK, this::tick);
		this.control.every(PROBE_INTERVAL, this::probe);
		this.control.every(EXCHANGE_INTERVAL, this::exchangeWithSome);
	}

	@Override
	public TrafficView view() {
		return this.view.get();
	}

	// It has a configuration and has seen who limits each endpoint.
	@Override
	public boolean ready() {
		return this.slotsSettled;
	}

	/**
	 * Tells peers that this instance is leaving and gives back its leases.
	 */
	public void releaseLeases() {
		this.leaving = true;
		CompletableFuture<Void> released = new CompletableFuture<>();
		this.control.post(this::exchangeWithSome);
		this.platformThread.post(() -> {
			this.platformControl.releaseSlots();
			released.complete(null);
		});
		try {
			released.get(ANSWER_PATIENCE.toMillis() * 2, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			LOG.warn("the leases are left to lapse");
		}
	}

	@Override
	public void close() {
		this.platformThread.close();
		this.control.close();
		this.peerCalls.close();
		this.prober.close();
		this.peerServer.close();
	}

	@Override
	public void onCallEnded(Assignment assignment, CallResult result) {
		this.control.post(() -> this.shares.callEnded(assignment, result, inForce(), this.slots, this.time.elapsed()));
	}

	@Override
	public DigestMessage exchange(DigestMessage theirs) {
		this.control.post(() -> hear(theirs));
		return digest();
	}

	@Override
	public ConfigurationMessage configuration() {
		AcceptedConfiguration accepted = this.view.get().accepted();
		return new ConfigurationMessage(accepted.version(), accepted.text());
	}

	@Override
	public List<ShareGrantMessage> shares(String instance, List<ShareReportMessage> reports) {
		List<ShareGrant> grants = onControl(
				() -> this.limiter.grants(PeerMessages.reports(instance, reports), this.held, this.time.elapsed()));
		return PeerMessages.grantMessages(grants);
	}

	private SystemConfiguration inForce() {
		return this.view.get().accepted().configuration();
	}

	private <T> T onControl(Supplier<T> question) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.control.post(() -> answer.complete(question.get()));
		return answer.orTimeout(ANSWER_PATIENCE.toMillis(), TimeUnit.MILLISECONDS).join();
	}

	private void apply(AcceptedConfiguration accepted) {
		if (accepted.version() <= this.view.get().accepted().version()) {
			return;
		}
		LOG.info("configuration {} in force", accepted.version());
		Map<PoolId, PoolGate> poolGates = new HashMap<>();
		accepted.configuration().pools().values().forEach((pool) -> poolGates.put(pool.id(), this.gates.gateOf(pool)));
		this.shares.follow(accepted.configuration());
		this.view.set(new TrafficView(accepted, poolGates));
		this.slots = new SlotIndex(accepted.configuration(), this.held.slots());
		followSlots();
		tick();
	}

	private void keepSlotsAgainAndAgain() {
		try {
			keepSlots();
		}
		finally {
			this.platformThread.after(this.slotsSettled ? SLOT_INTERVAL : UNSETTLED_SLOT_INTERVAL,
					this::keepSlotsAgainAndAgain);
		}
	}

	private void keepSlots() {
		TrafficView current = this.view.get();
		List<ListedInstance> listed = this.platformControl.instances();
		int instances = onControl(() -> {
			if (!listed.isEmpty()) {
				this.peers.list(listed);
			}
			return this.peers.count(this.time.elapsed());
		});
		if (current.accepted().version() == 0 || this.leaving) {
			return;
		}
		this.platformControl.keepSlots(current.accepted().configuration().slots(), instances);
		HeldSlots nowHeld = this.platformControl.held();
		Map<Integer, LeaseValue> nowHolders = this.platformControl.holders();
		this.slotsSettled = nowHolders.values().stream().filter((holder) -> !holder.released()).count() == current
			.accepted()
			.configuration()
			.slots();
		this.control.post(() -> {
			if (!nowHeld.slots().equals(this.held.slots())) {
				this.slots = new SlotIndex(inForce(), nowHeld.slots());
			}
			this.held = nowHeld;
			this.shareExchange.holders(nowHolders);
			this.peers.holders(PeerMessages.holders(nowHolders));
			followSlots();
		});
	}

	private void followSlots() {
		Set<Integer> opened = this.limiter.follow(inForce(), this.slots, this.held, this.time.elapsed());
		if (!opened.isEmpty()) {
			this.platformThread.post(() -> {
				Map<EndpointId, BootId> runs = this.platformControl.provenRuns(opened);
				this.control.post(() -> runs.forEach(this.limiter::proven));
			});
			probe();
		}
	}

	private void probe() {
		SystemConfiguration configuration = inForce();
		Map<Endpoint, StageProtocol> endpoints = new HashMap<>();
		this.limiter.endpoints()
			.forEach((endpoint) -> endpoints.put(endpoint, configuration.pools().get(endpoint.pool()).protocol()));
		this.prober.probe(endpoints);
		this.limiter.unrecorded().forEach(this::recordProven);
	}

	private void recordProven(EndpointId endpoint, BootId run) {
		int slot = this.slots.limiterSlot(endpoint);
		this.platformThread.post(() -> {
			if (this.platformControl.recordProven(slot, endpoint, run)) {
				this.control.post(() -> this.limiter.proven(endpoint, run));
			}
		});
	}

	// Asks the limiters for shares if there is need, and lets traffic use what is held.
	private void tick() {
		Duration now = this.time.elapsed();
		boolean waiting = this.view.get().gates().values().stream().anyMatch((gate) -> gate.waiting() > 0);
		if (waiting || now.minus(this.lastReport).compareTo(IDLE_REPORT_INTERVAL) > 0) {
			this.lastReport = now;
			this.shareExchange.report(this.view.get(), this.slots, this.held, now);
		}
		updateGates();
	}

	private void updateGates() {
		SystemConfiguration configuration = inForce();
		Duration now = this.time.elapsed();
		this.view.get()
			.gates()
			.forEach((pool, gate) -> gate
				.updateEndpoints(this.shares.views(configuration, configuration.pools().get(pool), this.slots, now)));
	}

	private void exchangeWithSome() {
		Map<InstanceId, InetSocketAddress> others = this.peers.others(this.time.elapsed());
		this.peerCalls.retain(Set.copyOf(others.values()));
		List<InetSocketAddress> addresses = new ArrayList<>(others.values());
		Collections.shuffle(addresses);
		addresses.stream()
			.limit(this.leaving ? addresses.size() : EXCHANGE_PEERS)
			.forEach((address) -> this.peerCalls.call(address, this::exchangeWith));
	}

	private void exchangeWith(PeerClient peer) {
		DigestMessage theirs = peer.exchange(digest());
		if (theirs.getConfigurationVersion() > this.view.get().accepted().version()) {
			ConfigurationMessage newer = peer.configuration();
			AcceptedConfiguration accepted = AcceptedConfiguration.of(newer.getVersion(), newer.getText());
			this.control.post(() -> apply(accepted));
		}
		this.control.post(() -> hear(theirs));
	}

	private void hear(DigestMessage theirs) {
		this.peers.hear(new InstanceId(theirs.getInstance()), PeerMessages.address(theirs.getPeerAddress()),
				theirs.isLeaving(), this.time.elapsed());
	}

	private DigestMessage digest() {
		return new DigestMessage(this.settings.id().value(), this.settings.zone().value(), peerAddress(),
				this.view.get().accepted().version(), this.leaving);
	}

	private String peerAddress() {
		return this.settings.peers().host() + ":" + this.peerServer.port();
	}

}
