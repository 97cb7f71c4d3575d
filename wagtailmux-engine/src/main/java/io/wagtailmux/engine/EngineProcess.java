package io.wagtailmux.engine;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.feed.FeedTiming;
import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.poison.Refusal;
import io.wagtailmux.decision.poison.RefusalState;
import io.wagtailmux.engine.control.ServingControl;
import io.wagtailmux.engine.duty.DutyControl;
import io.wagtailmux.engine.front.CallerConnections;
import io.wagtailmux.engine.front.HttpListener;
import io.wagtailmux.engine.front.ListenException;
import io.wagtailmux.engine.front.MetricsHandler;
import io.wagtailmux.engine.front.ReadinessHandler;
import io.wagtailmux.engine.front.RefusalsHandler;
import io.wagtailmux.engine.http.Connector;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.peer.EvidenceSender;
import io.wagtailmux.engine.peer.LimitMessages;
import io.wagtailmux.engine.peer.PeerHandler;
import io.wagtailmux.engine.peer.PieceRouter;
import io.wagtailmux.engine.peer.PoisonMessages;
import io.wagtailmux.engine.peer.SpeedMessages;
import io.wagtailmux.engine.peer.TrialMessages;
import io.wagtailmux.engine.port.CallerProtocol;
import io.wagtailmux.engine.port.DutyReceiver;
import io.wagtailmux.engine.port.EndpointProtocol;
import io.wagtailmux.engine.port.FactCodec;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.RowStore;
import io.wagtailmux.engine.relay.LinkMonitor;
import io.wagtailmux.engine.relay.RelayServer;
import io.wagtailmux.engine.stage.LocalPieceService;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.engine.state.StopPlan;
import io.wagtailmux.engine.state.TrialReport;
import io.wagtailmux.engine.thread.ControlThread;
import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.ModelException;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.ServingConfiguration;
import io.wagtailmux.peer.wire.EndpointSpeedMessage;
import io.wagtailmux.peer.wire.InstanceRecordMessage;
import io.wagtailmux.peer.wire.PingMessage;
import io.wagtailmux.peer.wire.PoisonEvidenceMessage;
import io.wagtailmux.peer.wire.PoolLimitsMessage;
import io.wagtailmux.peer.wire.RefusalMessage;
import io.wagtailmux.peer.wire.UsageConfirmationMessage;
import io.wagtailmux.peer.wire.UsagePushMessage;

/**
 * One running instance: the traffic thread, the control thread and the listeners.
 *
 * @author the wagtailmux developers
 */
public final class EngineProcess implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(EngineProcess.class);

	private static final int PEER_HEADER_BYTES = 8192;

	private static final int PEER_BODY_BYTES = 4 << 20;

	/**
	 * Time after which the load balancer has removed this instance: it does so after two
	 * failed health checks, which are one second apart.
	 */
	private static final Duration BALANCER_REMOVAL_TIME = Duration.ofMillis(3500);

	/**
	 * Time from the stop request until the load balancer, which checks health once a
	 * second, opens no new connections. Later requests arrive over connections that
	 * callers keep open.
	 */
	private static final Duration NEW_CONNECTIONS_TIME = Duration.ofMillis(2900);

	private static final Duration STOP_CHECK_INTERVAL = Duration.ofMillis(100);

	/** Several, in case one of them fails at that time. */
	private static final int REFUSAL_WRITERS = 2;

	/** Time reserved between the last answer and the forced kill of the process. */
	private static final Duration FORCED_KILL_MARGIN = Duration.ofMillis(700);

	/** Part of that time in which the last answers are written. */
	private static final Duration LAST_WRITES_TIME = Duration.ofMillis(300);

	private final EngineSettings settings;

	private final TimeSource time = TimeSource.system();

	private final NioEventLoopGroup trafficGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("traffic"));

	private final MetricRegistry registry = new MetricRegistry();

	private final TrafficLoop traffic = new TrafficLoop(this.trafficGroup.next(),
			new UnexpectedErrors(this.registry.counter("unexpected_errors")));

	private final ScheduledExecutorService controlThread = new ControlThread(new DefaultThreadFactory("control"),
			this.traffic.errors());

	private final EngineContext context;

	private final LocalPieceService localPieces;

	private final PieceRouter router;

	private final LinkMonitor links;

	private final RelayServer relays;

	private final CallerConnections connections;

	private final ServingControl control;

	private final InstanceRecordMessage self;

	private final Optional<DutyControl> duties;

	private volatile boolean stopping;

	private volatile boolean configured;

	private final List<HttpListener> listeners = new ArrayList<>();

	private Duration stopRequestedAt;

	private StopPlan stopPlan;

	private Runnable whenStopped = () -> {
	};

	/**
	 * Creates an instance that does not listen yet.
	 * @param settings its settings
	 * @param callers reads the headers of callers' requests
	 * @param endpoints encodes and decodes messages to and from endpoints
	 * @param facts reads and writes rows of the store
	 * @param store creates the client of the store from the HTTP client
	 * @param dutyReceiver creates the client of the receiver of duties from the HTTP
	 * client; not used if the settings name no duties
	 * @param connector opens all connections of this instance
	 */
	public EngineProcess(EngineSettings settings, CallerProtocol callers, EndpointProtocol endpoints, FactCodec facts,
			Function<HttpClient, RowStore> store, Function<HttpClient, DutyReceiver> dutyReceiver,
			Connector connector) {
		this.settings = settings;
		HttpClient client = new HttpClient(this.traffic, this.time, connector);
		EngineMetrics metrics = new EngineMetrics(this.registry);
		ServingState state = new ServingState(new DutyCandidate(settings.instance(), settings.capacity()),
				settings.limits(), this.time,
				(pool) -> new RefusalObserver(pool, metrics, (refusal) -> saveRefusal(pool, refusal)));
		this.context = new EngineContext(client, this.time, state, callers, endpoints, settings.zone(),
				new SplittableRandom(), metrics);
		this.localPieces = new LocalPieceService(this.context);
		this.router = new PieceRouter(this.context, this.localPieces);
		this.context.pieces(this.router);
		this.links = new LinkMonitor(this.context, settings.zone(), this.localPieces::onLinksChanged);
		this.context.links(this.links);
		this.relays = new RelayServer(this.context, this.links);
		this.connections = new CallerConnections(this.context);
		this.context.crashWatch().onEnd(new EvidenceSender(this.context, this::pingMessage)::send);
		this.self = new InstanceRecordMessage(settings.instance().value(), settings.peers().getHostString(),
				settings.peers().getPort(), settings.zone().value(), this.time.instant().toEpochMilli())
			.setCores(settings.capacity().cores())
			.setLinkMegabits(settings.capacity().linkMegabits());
		RowStore rows = store.apply(client);
		this.control = new ServingControl(this.self, facts, rows, client, this.controlThread, this.time,
				FeedTiming.of(settings.recoveryBound()),
				(view) -> this.traffic.execute("new view", () -> applyView(view)),
				(consumer) -> this.traffic.execute("reports of trials", () -> consumer.accept(state.trialReports())),
				settings.limits().exposureShare(), this::onHeartbeatAnswer, this::onRefusalRead,
				(era) -> this.traffic.execute("restored store", () -> onStoreRestored(era)));
		this.duties = settings.duties()
			.map((duties) -> new DutyControl(new DutyCandidate(settings.instance(), settings.capacity()),
					this.self.getBoot(), duties, rows, dutyReceiver.apply(client), this.control, state::demands, client,
					this.controlThread, this.time, this.registry));
		this.duties.ifPresent((control) -> this.context.usage(control.counter()));
	}

	/**
	 * Binds the listeners and begins to follow the store. Closes this instance if it
	 * fails.
	 * @throws io.wagtailmux.engine.front.ListenException if an address cannot be bound
	 */
	public void start() {
		try {
			listenOnAll();
		}
		catch (ListenException ex) {
			LOG.atError().addKeyValue("why", ex.getMessage()).log("startup failed");
			close();
			throw ex;
		}
		this.control.start();
		this.duties.ifPresent(DutyControl::start);
		LOG.atInfo()
			.addKeyValue("instance", this.settings.instance())
			.addKeyValue("zone", this.settings.zone())
			.addKeyValue("callers", this.settings.callers())
			.log("started");
	}

	private void listenOnAll() {
		listen(this.settings.readiness(), () -> new ReadinessHandler(this.settings.readinessPath(),
				() -> this.configured && !this.stopping, this.traffic.errors()));
		this.listeners.add(new HttpListener(this.traffic.eventLoop(), this.settings.callers(),
				() -> this.connections.limits().headerBytes(), this.connections::createHandler));
		listen(this.settings.peers(), this::peerHandler);
		listen(this.settings.metrics(), this::metricsHandler);
	}

	/**
	 * Begins a graceful shutdown: readiness fails at once, requests in progress are
	 * completed, and then the process may exit. Returns immediately; later calls have no
	 * effect. May be called on any thread.
	 * @param whenStopped called once, on the control thread, when the load balancer has
	 * removed this instance and no request is in progress, or shortly before the end of
	 * the grace period
	 */
	public void stop(Runnable whenStopped) {
		this.traffic.execute("begin of the shutdown", () -> {
			if (this.stopping) {
				return;
			}
			this.stopping = true;
			this.whenStopped = whenStopped;
			this.stopRequestedAt = this.time.elapsed();
			LOG.atInfo().addKeyValue("busy", this.connections.activeRequests()).log("stopping");
			this.stopPlan = new StopPlan(this.stopRequestedAt.plus(NEW_CONNECTIONS_TIME),
					this.stopRequestedAt.plus(this.settings.grace()).minus(FORCED_KILL_MARGIN));
			this.context.state().updateStopPlan(this.stopPlan);
			this.connections.startDraining();
			this.control.deregister();
			this.duties.ifPresent(DutyControl::stop);
			checkStop();
		});
	}

	private void listen(InetSocketAddress address, Supplier<ChannelHandler> handlers) {
		this.listeners.add(new HttpListener(this.traffic.eventLoop(), address, () -> PEER_HEADER_BYTES, handlers));
	}

	@Override
	public void close() {
		this.listeners.forEach(HttpListener::close);
		this.controlThread.shutdownNow();
		this.trafficGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private ChannelHandler peerHandler() {
		return new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new HttpObjectAggregator(PEER_BODY_BYTES),
							new PeerHandler(EngineProcess.this.localPieces, EngineProcess.this::pingMessage,
									EngineProcess.this.control::onIntroduction, EngineProcess.this.control::knownTables,
									EngineProcess.this::mergeReports, EngineProcess.this::onUsage,
									EngineProcess.this.relays::open, EngineProcess.this.traffic.errors()));
			}

		};
	}

	private ChannelHandler metricsHandler() {
		return new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new RefusalsHandler(EngineProcess.this.context.state()),
							new MetricsHandler(EngineProcess.this.registry, EngineProcess.this.traffic.errors()));
			}

		};
	}

	private PingMessage pingMessage() {
		long version = this.context.state().view().configuration().map(ServingConfiguration::version).orElse(0L);
		PingMessage message = new PingMessage(this.self, version, this.stopping || !this.configured);
		this.duties.ifPresent((control) -> control.addTo(message));
		List<TrialReport> trials = this.context.state().trialReports();
		if (!trials.isEmpty()) {
			message.setTrials(TrialMessages.messages(trials));
		}
		List<PoisonEvidenceMessage> poison = PoisonMessages.messages(this.context.state(), this.time.elapsed());
		if (!poison.isEmpty()) {
			message.setPoison(poison);
		}
		List<EndpointSpeedMessage> speeds = SpeedMessages.messages(this.context.state(), this.time.elapsed());
		if (!speeds.isEmpty()) {
			message.setSpeeds(speeds);
		}
		List<PoolLimitsMessage> limits = LimitMessages.messages(this.context.state(), this.time.elapsed());
		return limits.isEmpty() ? message : message.setLimits(limits);
	}

	private UsageConfirmationMessage onUsage(UsagePushMessage message) {
		return this.duties.map((control) -> control.onCounts(message))
			.orElseGet(() -> new UsageConfirmationMessage(this.self.getBoot()));
	}

	private void onHeartbeatAnswer(PingMessage answer) {
		this.duties.ifPresent((control) -> control.onHeartbeat(answer));
		if (answer.isSetPoison() || answer.isSetLimits() || answer.isSetSpeeds()) {
			this.traffic.execute("reports of an instance", () -> mergeReports(answer));
		}
	}

	private void mergeReports(PingMessage answer) {
		try {
			if (answer.isSetPoison()) {
				PoisonMessages.merge(answer.getPoison(), this.context.state(), this.time.elapsed());
			}
			if (answer.isSetSpeeds()) {
				SpeedMessages.merge(answer.getSpeeds(), this.context.state(), this.time.elapsed());
			}
			if (answer.isSetLimits()) {
				LimitMessages.merge(answer, this.context.state(), this.time.elapsed());
			}
		}
		catch (ProtocolException | ModelException ex) {
			LOG.atWarn()
				.addKeyValue("sender", answer.getSender().getInstance())
				.addKeyValue("why", ex.getMessage())
				.log("reports of an instance not decoded");
		}
	}

	private void onRefusalRead(RefusalMessage message) {
		this.traffic.execute("stored refusal", () -> {
			try {
				this.context.state()
					.mergeRefusal(new PoolId(message.getPool()), PoisonMessages.refusal(message, this.time.elapsed()));
			}
			catch (ProtocolException | ModelException ex) {
				LOG.atWarn().addKeyValue("why", ex.getMessage()).log("stored refusal not decoded");
			}
		});
	}

	/**
	 * Stores all refusals again, since a restored store may lack some.
	 * @param era the era of the store
	 */
	private void onStoreRestored(long era) {
		this.context.metrics().recordStoreRestored(era);
		this.context.state().refusals().forEach((known) -> {
			if (rank(known.refusal()) < REFUSAL_WRITERS) {
				this.control.saveRefusal(PoisonMessages.message(known.pool(), known.refusal(), this.time.elapsed()));
			}
		});
	}

	/**
	 * Stores a refusal that this instance decided. All instances find the same parts at
	 * about the same time, so that only the first ones in rank store them.
	 * @param pool the pool
	 * @param refusal the refusal
	 */
	private void saveRefusal(PoolId pool, Refusal refusal) {
		boolean decidedByAll = refusal.state() == RefusalState.REFUSED;
		if (decidedByAll && rank(refusal) >= REFUSAL_WRITERS) {
			return;
		}
		this.control.saveRefusal(PoisonMessages.message(pool, refusal, this.time.elapsed()));
	}

	private int rank(Refusal refusal) {
		return this.context.state().view().rank(this.settings.instance(), refusal.parts().stream().sorted().toList());
	}

	private void applyView(ServingView view) {
		this.context.state().updateView(view);
		this.context.metrics().updateView(view);
		this.links.onViewChanged();
		this.router.onViewChanged();
		this.localPieces.onViewChanged();
		this.context.crashWatch().onViewChanged();
		this.configured = view.configuration().isPresent();
	}

	private void checkStop() {
		Duration now = this.time.elapsed();
		boolean removedFromBalancer = now.compareTo(this.stopRequestedAt.plus(BALANCER_REMOVAL_TIME)) >= 0;
		if (removedFromBalancer) {
			this.connections.closeIdle();
		}
		long busy = this.connections.activeRequests();
		this.connections.endUnanswerable(this.stopPlan);
		if (this.stopPlan.isOver(now) || (removedFromBalancer && busy == 0)) {
			LOG.atInfo().addKeyValue("busy", busy).log("stopped");
			stopAccepting();
			awaitLastWrites(now.plus(LAST_WRITES_TIME));
			return;
		}
		this.traffic.schedule("check of the shutdown", STOP_CHECK_INTERVAL, this::checkStop);
	}

	/**
	 * Ensures that no request is accepted between the decision to stop and the exit.
	 */
	private void stopAccepting() {
		this.listeners.forEach(HttpListener::close);
		this.connections.closeIdle();
		this.duties.ifPresent(DutyControl::sendLastCounts);
	}

	private void awaitLastWrites(Duration until) {
		this.traffic.schedule("last writes of the shutdown", STOP_CHECK_INTERVAL, () -> {
			if (this.connections.anyOpen() && this.time.elapsed().compareTo(until) < 0) {
				awaitLastWrites(until);
				return;
			}
			this.controlThread.execute(this.whenStopped);
		});
	}

}
