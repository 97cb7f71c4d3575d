package io.wagtailmux.engine.state;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.rollout.VersionEvidence;
import io.wagtailmux.decision.share.ColdShare;
import io.wagtailmux.decision.share.RetryBudgetShare;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.serving.ColdLimit;
import io.wagtailmux.model.serving.EngineCapacity;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingPool;

/**
 * The endpoints of one pool as this instance uses them.
 *
 * @author the wagtailmux developers
 */
public final class PoolTraffic {

	private static final Duration EXPECTED_SERVICE_TIME = Duration.ofMillis(25);

	private final SharedLimits limits;

	private final InstanceId self;

	private final RetryBudgetShare retryBudget;

	private final Map<EndpointId, LiveEndpoint> endpoints = new LinkedHashMap<>();

	private ServingPool pool;

	private ServingView view = ServingView.EMPTY;

	private Optional<VersionTrial> trial = Optional.empty();

	private VersionEvidence evidence = new VersionEvidence();

	PoolTraffic(InstanceId self, SharedLimits limits, ServingPool pool) {
		this.self = self;
		this.limits = limits;
		this.pool = pool;
		this.retryBudget = new RetryBudgetShare(limits.retryRatio(), limits.retryWindow());
	}

	/**
	 * Returns the configuration of the pool.
	 * @return the pool
	 */
	public ServingPool pool() {
		return this.pool;
	}

	/**
	 * Returns this instance's part of the pool's repeats.
	 * @return the share
	 */
	public RetryBudgetShare retryBudget() {
		return this.retryBudget;
	}

	/**
	 * Returns all endpoints, also those that get nothing now.
	 * @return the endpoints
	 */
	public Collection<LiveEndpoint> endpoints() {
		return this.endpoints.values();
	}

	/**
	 * Finds an endpoint.
	 * @param id its id
	 * @return the endpoint, if the registry names it
	 */
	public Optional<LiveEndpoint> endpoint(EndpointId id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

	/**
	 * Returns the endpoints that may get a request now.
	 * @param newVersion whether the request belongs to the part that goes to the version
	 * under trial
	 * @param now the elapsed time
	 * @return the loads of usable endpoints that are warm or have a cold request left
	 */
	public List<EndpointLoad> candidates(boolean newVersion, Duration now) {
		return ofVersion(newVersion, usable(now).toList()).stream().map(LiveEndpoint::load).toList();
	}

	/**
	 * Returns the endpoints that may get calls with pieces. A version under trial gets
	 * none before its move: one call is many requests.
	 * @return the usable endpoints
	 */
	public List<LiveEndpoint> pieceEndpoints() {
		boolean newVersion = this.trial.map((found) -> found.phase().preferred()).orElse(false);
		return ofVersion(newVersion, this.endpoints.values().stream().filter(LiveEndpoint::usable).toList());
	}

	/**
	 * Counts the endpoints that may get new work.
	 * @return the number in each availability zone that has any
	 */
	public Map<AvailabilityZoneId, Integer> usableByZone() {
		Map<AvailabilityZoneId, Integer> counts = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter(LiveEndpoint::usable)
			.forEach((endpoint) -> counts.merge(endpoint.entry().zone(), 1, Integer::sum));
		return counts;
	}

	/**
	 * Returns the part of requests that goes to the version under trial.
	 * @return the share, zero if there is none
	 */
	public double trialShare() {
		return this.trial.map(VersionTrial::share).orElse(0.0);
	}

	/**
	 * Takes note of an answer, for the trial of a version.
	 * @param endpoint the endpoint that gave it
	 * @param route the name of the request's route
	 * @param success whether it was no failure
	 * @param took the time to the answer, or to a stream's first event
	 */
	public void recordAnswer(LiveEndpoint endpoint, String route, boolean success, Duration took) {
		this.trial.ifPresent((found) -> this.evidence.recordAnswer(isOf(found, endpoint), route, success, took));
	}

	/**
	 * Takes note of a call that was given up without an answer, for the trial of a
	 * version.
	 * @param endpoint the endpoint that was called
	 * @param route the name of the request's route
	 * @param lasted the time that it was waited for
	 */
	public void recordAbandonedCall(LiveEndpoint endpoint, String route, Duration lasted) {
		this.trial.ifPresent((found) -> this.evidence.recordAbandonedCall(isOf(found, endpoint), route, lasted));
	}

	/**
	 * Returns what this instance saw of a version under trial.
	 * @param now the elapsed time
	 * @return the report, if there is a trial
	 */
	Optional<TrialReport> trialReport(Duration now) {
		return this.trial.map((found) -> new TrialReport(this.pool.id(), found.order(), now.minus(found.orderedAt()),
				found.phase() == TrialPhase.STOPPED, this.evidence.tried(), this.evidence.others()));
	}

	/**
	 * Takes note of a call to an endpoint. A cold endpoint's share is taken here.
	 * @param endpoint the endpoint
	 * @param now the elapsed time
	 */
	public void onCallStarted(LiveEndpoint endpoint, Duration now) {
		if (coldLimited(endpoint, now)) {
			endpoint.coldShare().tryAcquire(coldRate(), instances(), rank(endpoint), now);
		}
	}

	void update(ServingPool next, Collection<RegisteredEndpoint> entries, ServingView nextView, Duration now) {
		this.pool = next;
		this.view = nextView;
		takeTrial(Optional.ofNullable(nextView.trials().get(next.id())));
		this.retryBudget.updateSlack(this.limits.retrySlack(), instances());
		Map<EndpointId, LiveEndpoint> before = Map.copyOf(this.endpoints);
		this.endpoints.clear();
		for (RegisteredEndpoint entry : entries) {
			LiveEndpoint live = before.get(entry.id());
			if (live == null || !live.sameProcess(entry)) {
				live = new LiveEndpoint(entry, load(entry), new ColdShare(phase(entry.id())));
			}
			live.update(entry, nextView.usable(entry), now);
			this.endpoints.put(entry.id(), live);
		}
		before.forEach((id, live) -> {
			if (this.endpoints.get(id) != live) {
				live.retire();
			}
		});
	}

	private void takeTrial(Optional<VersionTrial> next) {
		boolean sameOrder = next.map(VersionTrial::order).equals(this.trial.map(VersionTrial::order));
		if (!sameOrder) {
			this.evidence = new VersionEvidence();
		}
		this.trial = next;
	}

	/**
	 * Narrows endpoints down to those of the versions that a request may go to.
	 * @param newVersion whether it goes to the version under trial
	 * @param usable the endpoints to choose from
	 * @return those of its version; if there is none, those of the others, unless that
	 * would give the version under trial more than its part
	 */
	private List<LiveEndpoint> ofVersion(boolean newVersion, List<LiveEndpoint> usable) {
		if (this.trial.isEmpty()) {
			return usable;
		}
		VersionTrial current = this.trial.get();
		List<LiveEndpoint> chosen = usable.stream().filter((each) -> isOf(current, each) == newVersion).toList();
		boolean othersStand = this.endpoints.values()
			.stream()
			.anyMatch((each) -> !isOf(current, each) && !each.entry().draining());
		boolean overShare = !newVersion && (othersStand || !current.phase().usableAlone());
		return (!chosen.isEmpty() || overShare) ? chosen : usable;
	}

	private static boolean isOf(VersionTrial trial, LiveEndpoint endpoint) {
		return endpoint.entry().version().equals(trial.version());
	}

	private Stream<LiveEndpoint> usable(Duration now) {
		return this.endpoints.values()
			.stream()
			.filter(LiveEndpoint::usable)
			.filter((endpoint) -> endpoint.load().inFlight() < connections())
			.filter((endpoint) -> !coldLimited(endpoint, now)
					|| endpoint.coldShare().available(coldRate(), instances(), rank(endpoint), now));
	}

	private EndpointLoad load(RegisteredEndpoint entry) {
		long cacheTokens = this.pool.engine().map(EngineCapacity::cacheTokens).orElse(0L);
		return new EndpointLoad(entry.id(), entry.zone(), entry.slots(), EXPECTED_SERVICE_TIME, cacheTokens);
	}

	private boolean coldLimited(LiveEndpoint endpoint, Duration now) {
		return this.pool.cold().requestsPerSecond() > 0 && endpoint.cold(now);
	}

	private double coldRate() {
		ColdLimit cold = this.pool.cold();
		return cold.requestsPerSecond() * this.limits.coldFactor() + this.limits.coldSlack();
	}

	private int connections() {
		return Math.max(1, this.pool.connectionLimit() / instances());
	}

	private int instances() {
		return Math.max(1, this.view.instances());
	}

	private int rank(LiveEndpoint endpoint) {
		int own = RendezvousHash.of(endpoint.entry().id(), this.self);
		return (int) this.view.peers()
			.stream()
			.map(InstancePeer::id)
			.filter((peer) -> RendezvousHash.of(endpoint.entry().id(), peer) > own)
			.count();
	}

	private double phase(EndpointId endpoint) {
		return RendezvousHash.fraction(endpoint, this.self);
	}

}
