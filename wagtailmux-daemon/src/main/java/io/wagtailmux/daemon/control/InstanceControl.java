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
 * The control state of an instance: the configuration in force, the slot leases, the
 * ledgers of the endpoints that it limits, its shares and its peers. Traffic threads read
 * the result as an immutable {@link TrafficView}.
 *
 * <p>
 * The control thread owns the state and never blocks; calls to the platform, to peers and
 * to endpoints run on other threads and post their results to it. The public methods may
 * be called from any thread.
 *
 * @author the wagtailmux developers
 */
public final class InstanceControl implements ControlView, PeerService, CallListener, AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(InstanceControl.class);

	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private static final Duration IDLE_REPORT_INTERVAL = Duration.ofMillis(200);

	private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

	private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(1);

	private static final Duration CONFIGURATION_INTERVAL = Duration.ofMillis(900);

	private static final Duration SLOT_INTERVAL = Duration.ofMillis(1500);

	private static final Duration UNSETTLED_SLOT_INTERVAL = Duration.ofMillis(250);

	private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

	private static final int PEERS_PER_EXCHANGE = 3;

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

	private HeldSlots heldSlots = HeldSlots.NONE;

	private SlotIndex slotIndex = SlotIndex.NONE;

	private Duration lastReportAt = Duration.ZERO;

	private volatile boolean slotsSettled;

	private volatile boolean shuttingDown;

	/**
	 * Creates the control state of an instance that has no configuration yet, and binds
	 * the port for peers.
	 * @param settings the instance's settings
	 * @param platform the platform's services
	 * @param client calls endpoints
	 * @param time the clock
	 * @throws PeerException if the port for peers cannot be bound
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
				(endpoint, incarnation) -> this.control.post(() -> this.limiter.onBoot(endpoint, incarnation)));
		this.poller = new ConfigurationPoller(new ConfigurationStore(platform, time),
				(accepted) -> this.control.post(() -> apply(accepted)));
		this.peerServer = listenForPeers(settings);
		this.platformControl = new PlatformControl(platform, time, settings.id(), peerAddress());
	}

	/**
	 * Binds the port for peers. If that fails, closes the threads of this control state.
	 * @param instance the instance's settings
	 * @return the server, which is bound but not started
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
	 * Starts the periodic calls to the platform, to peers and to endpoints, and serves
	 * peers.
	 */
	public void start() {
		this.platformThread.scheduleRepeatedly(CONFIGURATION_INTERVAL, this.poller);
		this.platformThread.post(this::maintainSlotsRepeatedly);
		this.peerServer.start();
		this.control.scheduleRepeatedly(TICK_INTERVAL, this::tick);
		this.control.scheduleRepeatedly(PROBE_INTERVAL, this::probe);
		this.control.scheduleRepeatedly(EXCHANGE_INTERVAL, this::exchangeWithPeers);
	}

	@Override
	public TrafficView view() {
		return this.view.get();
	}

	// Ready once a configuration is in force and every slot has a lease that is not
	// released, so that each endpoint has a limiter. An expired lease counts as well.
	@Override
	public boolean ready() {
		return this.slotsSettled;
	}

	/**
	 * Notifies all peers that this instance is shutting down and releases its slot
	 * leases. Blocks until the releases have been tried, but for at most one second;
	 * leases that could not be released expire.
	 */
	public void releaseLeases() {
		this.shuttingDown = true;
		CompletableFuture<Void> released = new CompletableFuture<>();
		this.control.post(this::exchangeWithPeers);
		this.platformThread.post(() -> {
			this.platformControl.releaseSlots();
			released.complete(null);
		});
		try {
			released.get(ANSWER_TIMEOUT.toMillis() * 2, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			LOG.warn("slot leases not released in time; they will expire");
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
		this.control.post(() -> this.shares.onCallEnded(assignment, result, currentConfiguration(), this.slotIndex,
				this.time.elapsed()));
	}

	@Override
	public DigestMessage exchange(DigestMessage received) {
		this.control.post(() -> recordContact(received));
		return digest();
	}

	@Override
	public ConfigurationMessage configuration() {
		AcceptedConfiguration accepted = this.view.get().accepted();
		return new ConfigurationMessage(accepted.version(), accepted.text());
	}

	@Override
	public List<ShareGrantMessage> shares(String instance, List<ShareReportMessage> reports) {
		List<ShareGrant> grants = callOnControlThread(() -> this.limiter.grants(PeerMessages.reports(instance, reports),
				this.heldSlots, this.time.elapsed()));
		return PeerMessages.grantMessages(grants);
	}

	private SystemConfiguration currentConfiguration() {
		return this.view.get().accepted().configuration();
	}

	/**
	 * Runs a query on the control thread and blocks until it has ended.
	 * @param <T> the type of the result
	 * @param query reads the control state
	 * @return the result of the query
	 * @throws java.util.concurrent.CompletionException if there is no result within half
	 * a second, also because the query failed
	 */
	private <T> T callOnControlThread(Supplier<T> query) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.control.post(() -> result.complete(query.get()));
		return result.orTimeout(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).join();
	}

	private void apply(AcceptedConfiguration accepted) {
		if (accepted.version() <= this.view.get().accepted().version()) {
			return;
		}
		LOG.info("configuration {} in force", accepted.version());
		Map<PoolId, PoolGate> poolGates = new HashMap<>();
		accepted.configuration().pools().values().forEach((pool) -> poolGates.put(pool.id(), this.gates.gateOf(pool)));
		this.shares.removeUnconfigured(accepted.configuration());
		this.view.set(new TrafficView(accepted, poolGates));
		this.slotIndex = new SlotIndex(accepted.configuration(), this.heldSlots.slots());
		updateLedgers();
		tick();
	}

	private void maintainSlotsRepeatedly() {
		try {
			maintainSlots();
		}
		finally {
			this.platformThread.schedule(this.slotsSettled ? SLOT_INTERVAL : UNSETTLED_SLOT_INTERVAL,
					this::maintainSlotsRepeatedly);
		}
	}

	private void maintainSlots() {
		TrafficView current = this.view.get();
		List<ListedInstance> listed = this.platformControl.instances();
		int instances = callOnControlThread(() -> {
			// An empty list means that the platform did not answer; the last one stays.
			if (!listed.isEmpty()) {
				this.peers.updateListed(listed);
			}
			return this.peers.instanceCount(this.time.elapsed());
		});
		if (current.accepted().version() == 0 || this.shuttingDown) {
			return;
		}
		this.platformControl.maintainSlots(current.accepted().configuration().slots(), instances);
		HeldSlots currentSlots = this.platformControl.held();
		Map<Integer, LeaseValue> currentHolders = this.platformControl.holders();
		this.slotsSettled = currentHolders.values().stream().filter((holder) -> !holder.released()).count() == current
			.accepted()
			.configuration()
			.slots();
		this.control.post(() -> {
			if (!currentSlots.slots().equals(this.heldSlots.slots())) {
				this.slotIndex = new SlotIndex(currentConfiguration(), currentSlots.slots());
			}
			this.heldSlots = currentSlots;
			this.shareExchange.updateHolders(currentHolders);
			this.peers.updateSlotHolders(PeerMessages.holderAddresses(currentHolders));
			updateLedgers();
		});
	}

	private void updateLedgers() {
		Set<Integer> openedSlots = this.limiter.updateSlots(currentConfiguration(), this.slotIndex, this.heldSlots,
				this.time.elapsed());
		if (!openedSlots.isEmpty()) {
			this.platformThread.post(() -> {
				Map<EndpointId, BootId> incarnations = this.platformControl.provenIncarnations(openedSlots);
				this.control.post(() -> incarnations.forEach(this.limiter::markProven));
			});
			probe();
		}
	}

	private void probe() {
		SystemConfiguration configuration = currentConfiguration();
		Map<Endpoint, StageProtocol> endpoints = new HashMap<>();
		this.limiter.endpoints()
			.forEach((endpoint) -> endpoints.put(endpoint, configuration.pools().get(endpoint.pool()).protocol()));
		this.prober.probe(endpoints);
		this.limiter.unrecordedProofs().forEach(this::recordProven);
	}

	private void recordProven(EndpointId endpoint, BootId incarnation) {
		int slot = this.slotIndex.limiterSlot(endpoint);
		this.platformThread.post(() -> {
			if (this.platformControl.recordProven(slot, endpoint, incarnation)) {
				this.control.post(() -> this.limiter.markProven(endpoint, incarnation));
			}
		});
	}

	// Reports to the limiters, less often while no ticket waits, and publishes the
	// current shares to the pool gates.
	private void tick() {
		Duration now = this.time.elapsed();
		boolean waiting = this.view.get().gates().values().stream().anyMatch((gate) -> gate.waiting() > 0);
		if (waiting || now.minus(this.lastReportAt).compareTo(IDLE_REPORT_INTERVAL) > 0) {
			this.lastReportAt = now;
			this.shareExchange.report(this.view.get(), this.slotIndex, this.heldSlots, now);
		}
		updateGates();
	}

	private void updateGates() {
		SystemConfiguration configuration = currentConfiguration();
		Duration now = this.time.elapsed();
		this.view.get()
			.gates()
			.forEach((pool, gate) -> gate.updateEndpoints(
					this.shares.views(configuration, configuration.pools().get(pool), this.slotIndex, now)));
	}

	// Contacts a few instances at random, or all of them to report a shutdown.
	private void exchangeWithPeers() {
		Map<InstanceId, InetSocketAddress> others = this.peers.otherInstances(this.time.elapsed());
		this.peerCalls.closeUnknown(Set.copyOf(others.values()));
		List<InetSocketAddress> addresses = new ArrayList<>(others.values());
		Collections.shuffle(addresses);
		addresses.stream()
			.limit(this.shuttingDown ? addresses.size() : PEERS_PER_EXCHANGE)
			.forEach((address) -> this.peerCalls.call(address, this::exchangeWith));
	}

	private void exchangeWith(PeerClient peer) {
		DigestMessage received = peer.exchange(digest());
		if (received.getConfigurationVersion() > this.view.get().accepted().version()) {
			ConfigurationMessage newer = peer.configuration();
			AcceptedConfiguration accepted = AcceptedConfiguration.of(newer.getVersion(), newer.getText());
			this.control.post(() -> apply(accepted));
		}
		this.control.post(() -> recordContact(received));
	}

	private void recordContact(DigestMessage received) {
		this.peers.recordContact(new InstanceId(received.getInstance()),
				PeerMessages.address(received.getPeerAddress()), received.isLeaving(), this.time.elapsed());
	}

	private DigestMessage digest() {
		return new DigestMessage(this.settings.id().value(), this.settings.zone().value(), peerAddress(),
				this.view.get().accepted().version(), this.shuttingDown);
	}

	private String peerAddress() {
		return this.settings.peers().host() + ":" + this.peerServer.port();
	}

}
