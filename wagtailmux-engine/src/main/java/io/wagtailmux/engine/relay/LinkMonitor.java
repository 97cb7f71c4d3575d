package io.wagtailmux.engine.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.reach.EndpointReach;
import io.wagtailmux.decision.reach.RelayChoice;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.http.ClientCall;
import io.wagtailmux.engine.http.EndpointLinks;
import io.wagtailmux.engine.http.EndpointTarget;
import io.wagtailmux.engine.http.Listening;
import io.wagtailmux.engine.http.RelayListener;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.state.LiveEndpoint;
import io.wagtailmux.engine.state.PoolTraffic;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;

/**
 * Watches the links from this instance to the endpoints. While they have failed, new
 * connections to endpoints go through other instances. Used on the traffic thread only.
 *
 * <p>
 * All decisions about a call stay with this instance: which endpoint gets it, its share
 * of limits, its retries and its deadline. The other instance passes bytes on.
 *
 * @author the wagtailmux developers
 */
public final class LinkMonitor implements EndpointLinks {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	/** Several, since others may have ended and still be registered. */
	private static final int CONFIRMING_PROBES = 3;

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final EngineContext context;

	private final AvailabilityZoneId zone;

	private final Runnable onChanged;

	private final EndpointReach reach = new EndpointReach();

	private final RelayChoice choice;

	/** Calls that wait for their first byte, with the time at which they were sent. */
	private final Map<ClientCall, Duration> silent = new LinkedHashMap<>();

	private Duration receivedAt = Duration.ZERO;

	private boolean checkScheduled;

	/**
	 * Creates a monitor of sound links.
	 * @param context the shared objects of the engine
	 * @param zone the availability zone of this instance
	 * @param onChanged called when the links have failed or are restored
	 */
	public LinkMonitor(EngineContext context, AvailabilityZoneId zone, Runnable onChanged) {
		this.context = context;
		this.zone = zone;
		this.onChanged = onChanged;
		this.choice = new RelayChoice(context.random());
		context.metrics().registry().gauge("endpoints_cut_off", () -> () -> this.reach.cutOff() ? 1 : 0);
	}

	/**
	 * Handles a change of the serving view.
	 */
	public void onViewChanged() {
		this.reach.updateEndpoints(liveEndpoints().stream()
			.collect(Collectors.toMap((endpoint) -> endpoint.entry().id(), (endpoint) -> endpoint.entry().zone())));
	}

	@Override
	public boolean cutOff() {
		return this.reach.cutOff();
	}

	@Override
	public void onOpened(EndpointTarget target) {
		if (this.reach.recordReached(target.endpoint())) {
			LOG.atInfo().addKeyValue("endpoint", target.endpoint()).log("links to endpoints restored");
			forgiveEndpoints();
		}
	}

	@Override
	public void onNotOpened(EndpointTarget target) {
		if (this.reach.recordNotReached(target.endpoint(), target.zone(), now())) {
			this.context.metrics().registry().counter("endpoint_links_failed").inc();
			LOG.atInfo()
				.addKeyValue("endpoint", target.endpoint())
				.addKeyValue("silentCalls", this.silent.size())
				.log("links to endpoints failed");
			breakSilentCalls();
			forgiveEndpoints();
		}
		scheduleCheck();
	}

	@Override
	public void onSent(ClientCall call) {
		this.silent.put(call, now());
		scheduleCheck();
	}

	@Override
	public void onReceived() {
		this.receivedAt = now();
	}

	@Override
	public void confirmRefusal(EndpointTarget target, Consumer<Boolean> result) {
		List<LiveEndpoint> others = probeTargets().stream()
			.filter((endpoint) -> !endpoint.entry().id().equals(target.endpoint()))
			.limit(CONFIRMING_PROBES)
			.toList();
		if (others.isEmpty()) {
			result.accept(true);
			return;
		}
		Confirmation confirmation = new Confirmation(others.size(), result);
		others.forEach((other) -> this.context.client().checkListening(other.destination(), confirmation::onProbed));
	}

	@Override
	public void openRelayed(EndpointTarget target, RelayListener listener) {
		new RelayOpening(this.context, target, this::chooseRelay, this.choice, listener).openNext();
	}

	private Optional<InstancePeer> chooseRelay(EndpointTarget target, Set<InstanceId> tried) {
		List<InstancePeer> peers = this.context.state().view().peers();
		List<RelayChoice.Candidate> candidates = peers.stream()
			.map((peer) -> new RelayChoice.Candidate(peer.id(), peer.zone(), peer.capacity().linkMegabits()))
			.toList();
		Set<AvailabilityZoneId> near = target.zone().equals(this.zone) ? Set.of(this.zone)
				: Set.of(this.zone, target.zone());
		return this.choice.choose(candidates, tried, near, now())
			.flatMap((id) -> peers.stream().filter((peer) -> peer.id().equals(id)).findFirst());
	}

	/**
	 * Ends the calls that may never be answered, unless earlier connections live on.
	 */
	private void breakSilentCalls() {
		if (silentFor().isZero()) {
			return;
		}
		List<ClientCall> calls = List.copyOf(this.silent.keySet());
		this.silent.clear();
		calls.forEach(ClientCall::breakIfRepeatable);
	}

	/**
	 * Forgets the failures of endpoints that were those of this instance's links.
	 */
	private void forgiveEndpoints() {
		liveEndpoints().forEach((endpoint) -> endpoint.load().forgiveFailures());
		this.onChanged.run();
	}

	private void scheduleCheck() {
		if (!this.checkScheduled) {
			this.checkScheduled = true;
			this.context.loop().schedule("check of the links to endpoints", CHECK_INTERVAL, this::check);
		}
	}

	private void check() {
		this.checkScheduled = false;
		this.silent.keySet().removeIf((call) -> !call.silent());
		int probes = this.reach.takeProbes(silentFor(), now());
		if (probes > 0) {
			probeTargets().stream()
				.limit(probes)
				.forEach((endpoint) -> this.context.client().checkListening(endpoint.destination(), (result) -> {
				}));
		}
		if (!this.silent.isEmpty() || this.reach.suspected(now())) {
			scheduleCheck();
		}
	}

	/**
	 * Returns for how long no endpoint has sent anything although calls wait for it.
	 * @return zero if no call waits, or if none has waited since the last byte
	 */
	private Duration silentFor() {
		Optional<Duration> oldest = this.silent.values().stream().findFirst();
		if (oldest.isEmpty()) {
			return Duration.ZERO;
		}
		Duration since = (oldest.get().compareTo(this.receivedAt) > 0) ? oldest.get() : this.receivedAt;
		return now().minus(since);
	}

	/**
	 * Returns the endpoints in the order in which they are to be probed: at random, those
	 * whose last attempt failed last.
	 * @return all usable endpoints
	 */
	private List<LiveEndpoint> probeTargets() {
		Map<LiveEndpoint, Double> order = new HashMap<>();
		liveEndpoints().stream().filter((endpoint) -> endpoint.usable(now())).forEach((endpoint) -> {
			boolean failed = this.reach.failedLately(endpoint.entry().id()) || endpoint.load().suspended(now());
			order.put(endpoint, this.context.random().nextDouble() + (failed ? 1 : 0));
		});
		return order.entrySet().stream().sorted(Map.Entry.comparingByValue()).map(Map.Entry::getKey).toList();
	}

	private List<LiveEndpoint> liveEndpoints() {
		return this.context.state()
			.pools()
			.stream()
			.map(PoolTraffic::endpoints)
			.flatMap((all) -> all.stream())
			.toList();
	}

	private Duration now() {
		return this.context.time().elapsed();
	}

	/**
	 * Outcome of several probes, of which one that succeeds suffices.
	 */
	private static final class Confirmation {

		private final Consumer<Boolean> result;

		private int open;

		private boolean told;

		Confirmation(int probes, Consumer<Boolean> result) {
			this.open = probes;
			this.result = result;
		}

		void onProbed(Listening found) {
			this.open--;
			boolean reached = found == Listening.YES;
			if (!this.told && (reached || this.open == 0)) {
				this.told = true;
				this.result.accept(reached);
			}
		}

	}

}
