package io.wagtailmux.engine.state;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.decision.availability.EndpointAvailabilities;
import io.wagtailmux.decision.capacity.DemandCounter;
import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.decision.ownership.PoolShards;
import io.wagtailmux.decision.placement.EndpointLoad;
import io.wagtailmux.decision.poison.EndpointRun;
import io.wagtailmux.decision.poison.PoisonDetector;
import io.wagtailmux.decision.poison.PoisonListener;
import io.wagtailmux.decision.poison.PoisonVerdict;
import io.wagtailmux.decision.rollout.StreamPace;
import io.wagtailmux.decision.rollout.TrialSampler;
import io.wagtailmux.decision.rollout.VersionEvidence;
import io.wagtailmux.decision.share.BrittleShare;
import io.wagtailmux.decision.share.ColdShare;
import io.wagtailmux.decision.share.RateShare;
import io.wagtailmux.decision.share.RetryBudgetShare;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.VersionId;
import io.wagtailmux.model.serving.EngineCapacity;
import io.wagtailmux.model.serving.RegisteredEndpoint;
import io.wagtailmux.model.serving.ServingPool;

/**
 * Endpoints of one pool with this instance's calls to them and its share of the pool's
 * limits. Confined to the traffic thread.
 *
 * @author the wagtailmux developers
 */
public final class PoolTraffic {

	/** Assumed for an endpoint until its service time has been measured. */
	private static final Duration EXPECTED_SERVICE_TIME = Duration.ofMillis(25);

	private final SharedLimits limits;

	private final InstanceId self;

	private final RetryBudgetShare retryBudget;

	private final Map<EndpointId, LiveEndpoint> endpoints = new LinkedHashMap<>();

	private final EndpointAvailabilities availabilities = new EndpointAvailabilities();

	private ServingPool pool;

	private ServingView view = ServingView.EMPTY;

	private Optional<VersionTrial> trial = Optional.empty();

	private VersionEvidence evidence = new VersionEvidence();

	private TrialSampler sampler = new TrialSampler(0);

	private Optional<PoolShards> shards = Optional.empty();

	private final PoisonDetector poison;

	private final NamedLimitShares namedLimits;

	private final DemandCounter demand = new DemandCounter();

	private Set<VersionId> versions = Set.of();

	PoolTraffic(InstanceId self, SharedLimits limits, ServingPool pool, PoisonListener poisonListener) {
		this.self = self;
		this.limits = limits;
		this.pool = pool;
		this.poison = new PoisonDetector(poisonListener);
		this.namedLimits = new NamedLimitShares(pool.id(), this.endpoints.values(), this::instances);
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
	 * Returns this instance's share of the pool's retry budget.
	 * @return the share; first calls add to it and retries use it up
	 */
	public RetryBudgetShare retryBudget() {
		return this.retryBudget;
	}

	/**
	 * Returns the counter of this instance's demand for the pool.
	 * @return the counter
	 */
	public DemandCounter demand() {
		return this.demand;
	}

	/**
	 * Returns what is known of prompt parts that crash the pool's endpoints.
	 * @return the detector; without evidence if the endpoints are not model engines
	 */
	public PoisonDetector poison() {
		return this.poison;
	}

	/**
	 * Judges a request by the parts of its prompt.
	 * @param parts the ids of the shared parts; may be empty
	 * @param now the elapsed time
	 * @return whether the request may be sent to an endpoint
	 */
	public PoisonVerdict poisonVerdict(List<String> parts, Duration now) {
		return this.poison.check(parts, this::isDesignated, this.versions, now);
	}

	/**
	 * Returns all registered endpoints, including those that get no new requests.
	 * @return the endpoints; follows later updates and must not be modified
	 */
	public Collection<LiveEndpoint> endpoints() {
		return this.endpoints.values();
	}

	/**
	 * Returns an endpoint.
	 * @param id the id of the endpoint
	 * @return the endpoint; empty if it is not registered for this pool
	 */
	public Optional<LiveEndpoint> endpoint(EndpointId id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

	/**
	 * Returns the endpoints that may get a request now.
	 * @param newVersion whether the request belongs to the share that goes to the version
	 * under trial
	 * @param now the elapsed time
	 * @return the loads of the usable endpoints of the versions that the request may go
	 * to, without those at which this instance has reached its share of the connection
	 * limit or, if they are cold, of the cold limit
	 */
	public List<EndpointLoad> candidates(boolean newVersion, Duration now) {
		return ofVersion(newVersion, usable(now).toList()).stream().map(LiveEndpoint::load).toList();
	}

	/**
	 * Returns the endpoints that may get calls with pieces. A version under trial gets
	 * such calls only once it gets all requests, since one call carries pieces of many
	 * requests; it gets them earlier if all registered endpoints of other versions are
	 * draining and its rollout has not been stopped.
	 * @return the endpoints that are usable by the newest view, whatever they said in
	 * their answers
	 */
	private List<LiveEndpoint> pieceEndpoints() {
		boolean newVersion = this.trial.map((found) -> found.phase().preferred()).orElse(false);
		return ofVersion(newVersion, this.endpoints.values().stream().filter(LiveEndpoint::usableByView).toList());
	}

	/**
	 * Returns the endpoints of one shard that may get calls with pieces.
	 * @param shard a shard of this pool
	 * @return the usable endpoints of the shard that are not leaving, also those that
	 * stay away; those of all shards if the shard has none, as after a change of the
	 * number of shards
	 */
	public List<LiveEndpoint> pieceEndpoints(PoolShard shard) {
		List<LiveEndpoint> all = pieceEndpoints().stream()
			.filter((endpoint) -> !endpoint.availability().leaving())
			.toList();
		List<LiveEndpoint> own = all.stream()
			.filter((endpoint) -> shards().map((found) -> found.shardOf(endpoint.entry().id()).equals(shard))
				.orElse(false))
			.toList();
		return own.isEmpty() ? all : own;
	}

	/**
	 * Returns the division of the pool into shards.
	 * @return the shards; empty if the pool does not run stages in batches
	 */
	public Optional<PoolShards> shards() {
		return this.shards;
	}

	/**
	 * Returns how long no endpoint will be usable because all of them stay away.
	 * @param now the elapsed time
	 * @return zero if an endpoint is usable; the time until the first one returns; empty
	 * if none is registered that would return
	 */
	public Optional<Duration> timeUntilUsable(Duration now) {
		return this.endpoints.values()
			.stream()
			.filter(LiveEndpoint::usableByView)
			.map(LiveEndpoint::availability)
			.filter((availability) -> !availability.leaving())
			.map((availability) -> availability.available(now) ? Duration.ZERO : availability.awayUntil().minus(now))
			.min(Duration::compareTo);
	}

	/**
	 * Returns the endpoints that get no requests now because of what they said.
	 * @param now the elapsed time
	 * @return those that are leaving or stay away
	 */
	public List<LiveEndpoint> unavailable(Duration now) {
		return this.endpoints.values().stream().filter((endpoint) -> !endpoint.availability().available(now)).toList();
	}

	/**
	 * Returns whether no new request can be sent since all endpoints that the view allows
	 * are leaving.
	 * @return false if there are none at all
	 */
	public boolean allLeaving() {
		List<LiveEndpoint> allowed = this.endpoints.values().stream().filter(LiveEndpoint::usableByView).toList();
		return !allowed.isEmpty() && allowed.stream().allMatch((endpoint) -> endpoint.availability().leaving());
	}

	/**
	 * Counts the endpoints that may get new requests.
	 * @param now the elapsed time
	 * @return the number in each availability zone; zones without such endpoints are
	 * missing
	 */
	public Map<AvailabilityZoneId, Integer> usableByZone(Duration now) {
		Map<AvailabilityZoneId, Integer> counts = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.usable(now))
			.forEach((endpoint) -> counts.merge(endpoint.entry().zone(), 1, Integer::sum));
		return counts;
	}

	/**
	 * Decides whether the next request goes to the version under trial.
	 * @return whether it does; false if no version is under trial
	 */
	public boolean selectsNextForTrial() {
		return this.trial.map((found) -> this.sampler.selectsNext(found.share())).orElse(false);
	}

	/**
	 * Returns whether all requests go to the version under trial.
	 * @return whether the trial is over and no fault was found
	 */
	public boolean trialTakesAll() {
		return this.trial.map((found) -> found.share() >= 1).orElse(false);
	}

	/**
	 * Records an answer as evidence in the pool's trial of a version. Does nothing if
	 * there is no trial.
	 * @param endpoint the endpoint that answered
	 * @param route the name of the request's route
	 * @param success whether the call succeeded
	 * @param elapsed the time until the answer, or until the first event of a stream
	 */
	public void recordAnswer(LiveEndpoint endpoint, String route, boolean success, Duration elapsed) {
		this.trial.ifPresent(
				(found) -> this.evidence.recordAnswer(runsTrialVersion(found, endpoint), route, success, elapsed));
	}

	/**
	 * Records a call that was abandoned without an answer as evidence in the pool's trial
	 * of a version. Does nothing if there is no trial.
	 * @param endpoint the endpoint that was called
	 * @param route the name of the request's route
	 * @param elapsed the time for which the call had lasted
	 */
	public void recordAbandonedCall(LiveEndpoint endpoint, String route, Duration elapsed) {
		this.trial
			.ifPresent((found) -> this.evidence.recordAbandonedCall(runsTrialVersion(found, endpoint), route, elapsed));
	}

	/**
	 * Records a stream in progress as evidence in the pool's trial of a version if it is
	 * too slow already.
	 * @param endpoint the endpoint that sends the stream
	 * @param route the name of the request's route
	 * @param pace the pace so far
	 * @return whether it was recorded as slow, so that it must not be recorded again
	 */
	public boolean recordIfSlow(LiveEndpoint endpoint, String route, StreamPace pace) {
		boolean slow = this.trial.isPresent() && this.evidence.isSlow(route, pace);
		if (slow) {
			this.evidence.recordSlowStream(runsTrialVersion(this.trial.get(), endpoint), route, pace);
		}
		return slow;
	}

	/**
	 * Records the end of a stream that was not slow as evidence in the pool's trial of a
	 * version. Does nothing if there is no trial.
	 * @param endpoint the endpoint that sent the stream
	 * @param route the name of the request's route
	 * @param pace the pace of the whole stream
	 */
	public void recordStream(LiveEndpoint endpoint, String route, StreamPace pace) {
		this.trial.ifPresent((found) -> this.evidence.recordStream(runsTrialVersion(found, endpoint), route, pace));
	}

	/**
	 * Returns this instance's report on the version under trial.
	 * @param now the elapsed time
	 * @return the report; empty if no version is under trial
	 */
	Optional<TrialReport> trialReport(Duration now) {
		return this.trial.map((found) -> new TrialReport(this.pool.id(), found.order(), now.minus(found.orderedAt()),
				found.phase() == TrialPhase.STOPPED, this.evidence.answers(), this.evidence.streams()));
	}

	/**
	 * Returns this instance's shares of the limits that the endpoints name.
	 * @return the shares
	 */
	public NamedLimitShares namedLimits() {
		return this.namedLimits;
	}

	/**
	 * Records the start of a call to an endpoint. If the endpoint's rate is limited since
	 * it is cold, the call uses up a part of this instance's share of that rate.
	 * @param endpoint the endpoint
	 * @param now the elapsed time
	 */
	public void onCallStarted(LiveEndpoint endpoint, Duration now) {
		this.namedLimits.recordCall(endpoint);
		endpoint.brittleShare().recordCall();
		if (coldLimited(endpoint, now)) {
			endpoint.coldShare().tryAcquire(coldRate(), instances(), rank(endpoint), now);
		}
	}

	void update(ServingPool next, Collection<RegisteredEndpoint> entries, ServingView nextView, Duration now) {
		this.pool = next;
		this.view = nextView;
		updateTrial(Optional.ofNullable(nextView.trials().get(next.id())));
		this.retryBudget.updateSlack(this.limits.retrySlack(), instances());
		Map<EndpointId, LiveEndpoint> before = Map.copyOf(this.endpoints);
		this.endpoints.clear();
		for (RegisteredEndpoint entry : entries) {
			LiveEndpoint live = before.get(entry.id());
			if (live == null || !live.sameProcess(entry)) {
				live = new LiveEndpoint(entry, createLoad(entry), new ColdShare(sharePhase(entry.id())),
						new RateShare(sharePhase(entry.id())), new BrittleShare(sharePhase(entry.id())),
						this.availabilities.of(new EndpointRun(entry.id(), entry.startedAtMillis())));
			}
			live.update(entry, nextView.usable(entry), now);
			this.endpoints.put(entry.id(), live);
		}
		this.versions = entries.stream().map(RegisteredEndpoint::version).collect(Collectors.toUnmodifiableSet());
		this.shards = next.batch()
			.map((capacity) -> PoolShards.of(next.id(),
					pieceEndpoints().stream().map((endpoint) -> endpoint.entry().id()).toList(), capacity));
		before.forEach((id, live) -> {
			if (this.endpoints.get(id) != live) {
				live.retire();
			}
		});
	}

	private void updateTrial(Optional<VersionTrial> next) {
		boolean sameOrder = next.map(VersionTrial::order).equals(this.trial.map(VersionTrial::order));
		if (!sameOrder) {
			this.evidence = new VersionEvidence();
			double phase = next.map((found) -> RendezvousHash.fraction(found.order(), this.self)).orElse(0.0);
			this.sampler = new TrialSampler(phase + this.limits.exposureSlack() / 2 / instances());
		}
		this.trial = next;
	}

	/**
	 * Selects the endpoints of the versions that a request may go to.
	 * @param newVersion whether the request belongs to the share of the version under
	 * trial
	 * @param usable the endpoints to choose from
	 * @return the endpoints of the version under trial or of the others, respectively; if
	 * there are none, all endpoints in {@code usable}, unless that would give the version
	 * under trial more than its share
	 */
	private List<LiveEndpoint> ofVersion(boolean newVersion, List<LiveEndpoint> usable) {
		if (this.trial.isEmpty()) {
			return usable;
		}
		VersionTrial current = this.trial.get();
		List<LiveEndpoint> chosen = usable.stream()
			.filter((each) -> runsTrialVersion(current, each) == newVersion)
			.toList();
		boolean othersRegistered = this.endpoints.values()
			.stream()
			.anyMatch((each) -> !runsTrialVersion(current, each) && !each.entry().draining());
		boolean overShare = !newVersion && (othersRegistered || !current.phase().usableAlone());
		return (!chosen.isEmpty() || overShare) ? chosen : usable;
	}

	private static boolean runsTrialVersion(VersionTrial trial, LiveEndpoint endpoint) {
		return endpoint.entry().version().equals(trial.version());
	}

	private Stream<LiveEndpoint> usable(Duration now) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.usable(now))
			.filter((endpoint) -> endpoint.load().inFlight() < connectionLimit())
			.filter((endpoint) -> this.namedLimits.allows(endpoint, now))
			.filter((endpoint) -> hasRoomIfBrittle(endpoint, now))
			.filter((endpoint) -> !coldLimited(endpoint, now)
					|| endpoint.coldShare().available(coldRate(), instances(), rank(endpoint), now));
	}

	private boolean hasRoomIfBrittle(LiveEndpoint endpoint, Duration now) {
		EndpointLoad load = endpoint.load();
		return !endpoint.brittleShare().brittle(now) || endpoint.brittleShare()
			.allows(load.inFlight(), load.slots(), instances(), rank(endpoint), load.serviceTime(now), now);
	}

	private EndpointLoad createLoad(RegisteredEndpoint entry) {
		long cacheTokens = this.pool.engine().map(EngineCapacity::cacheTokens).orElse(0L);
		return new EndpointLoad(entry.id(), entry.zone(), entry.slots(), EXPECTED_SERVICE_TIME, cacheTokens);
	}

	private boolean coldLimited(LiveEndpoint endpoint, Duration now) {
		return this.pool.cold().requestsPerSecond().isPresent() && endpoint.cold(now);
	}

	private double coldRate() {
		return this.pool.cold().requestsPerSecond().orElseThrow() * this.limits.coldFactor() + this.limits.coldSlack();
	}

	private int connectionLimit() {
		return Math.max(1, this.pool.connectionLimit() / instances());
	}

	private int instances() {
		return Math.max(1, this.view.instances());
	}

	private int rank(LiveEndpoint endpoint) {
		return rank(endpoint.entry().id());
	}

	private int rank(Object key) {
		return this.view.rank(this.self, key);
	}

	/**
	 * Returns whether this instance is the one of all instances that tries certain prompt
	 * parts again.
	 * @param parts the ids of the parts
	 * @return whether it has the first rank for them
	 */
	private boolean isDesignated(Set<String> parts) {
		return rank(parts.stream().sorted().toList()) == 0;
	}

	private double sharePhase(EndpointId endpoint) {
		return RendezvousHash.fraction(endpoint, this.self);
	}

}
