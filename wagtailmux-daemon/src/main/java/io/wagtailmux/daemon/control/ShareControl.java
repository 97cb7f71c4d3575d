package io.wagtailmux.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.wagtailmux.daemon.endpoint.CallResult;
import io.wagtailmux.daemon.traffic.PoolGate;
import io.wagtailmux.decision.Assignment;
import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.decision.EndpointView;
import io.wagtailmux.decision.limit.EndpointShare;
import io.wagtailmux.decision.limit.ShareGrant;
import io.wagtailmux.decision.limit.ShareReport;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.SystemConfiguration;

/**
 * This instance's shares of all endpoints. Used by the control thread only.
 *
 * @author the wagtailmux developers
 */
final class ShareControl {

	private static final int CONCLUSIVE_SERVICE_TIMES = 3;

	private final Map<EndpointId, EndpointShare> shares = new HashMap<>();

	private final Set<EndpointId> reportedEndpoints = new HashSet<>();

	private final InstanceId instance;

	private final AvailabilityZoneId zone;

	ShareControl(InstanceId instance, AvailabilityZoneId zone) {
		this.instance = instance;
		this.zone = zone;
	}

	/**
	 * Removes the shares of endpoints that are no longer configured.
	 * @param configuration the configuration in force
	 */
	void removeUnconfigured(SystemConfiguration configuration) {
		this.shares.keySet().retainAll(configuration.endpoints().keySet());
	}

	/**
	 * Updates the share of an endpoint after a call. If the result names another
	 * incarnation of the endpoint's process, the share applies to that one from then on,
	 * as not proven. Ignored if the endpoint is no longer configured.
	 * @param assignment the assignment of the call to the endpoint
	 * @param result the result of the call
	 * @param configuration the configuration in force
	 * @param slots the floor of each endpoint
	 * @param now the elapsed time
	 */
	void onCallEnded(Assignment assignment, CallResult result, SystemConfiguration configuration, SlotIndex slots,
			Duration now) {
		Endpoint endpoint = assignment.endpoint();
		if (!configuration.endpoints().containsKey(endpoint.id())) {
			return;
		}
		EndpointShare share = shareOf(endpoint.id());
		int size = share.share(slots.floor(endpoint.id()), now);
		share.onCallEnded(outcomeForShare(configuration, endpoint, result), assignment.inFlight(), size, now);
		result.boot().ifPresent((boot) -> {
			if (share.boot().isPresent() && !share.boot().get().equals(boot)) {
				share.updateBoot(boot, false);
			}
		});
	}

	/**
	 * Replaces the grants of the endpoints named in them.
	 * @param grants the new grants
	 * @param requestedAt when the grants were requested, as elapsed time
	 */
	void updateGrants(List<ShareGrant> grants, Duration requestedAt) {
		grants.forEach((grant) -> shareOf(grant.endpoint()).updateGrant(grant, requestedAt));
	}

	/**
	 * Returns the endpoints of a pool with this instance's current shares.
	 * @param configuration the configuration in force
	 * @param pool the pool
	 * @param slots the floor of each endpoint
	 * @param now the elapsed time
	 * @return the endpoints in service
	 */
	List<EndpointView> views(SystemConfiguration configuration, Pool pool, SlotIndex slots, Duration now) {
		return configuration.endpointsOf(pool.id())
			.stream()
			.filter(configuration::inService)
			.map((endpoint) -> view(configuration, endpoint, slots, now))
			.toList();
	}

	/**
	 * Returns the reports to send to the limiters of a pool's endpoints. This resets the
	 * counts of good answers and failures, which are lost if a report is not delivered.
	 * @param configuration the configuration in force
	 * @param pool the pool
	 * @param gate the pool's gate
	 * @param reachable tells whether the limiter of an endpoint can be called now; other
	 * endpoints are left out
	 * @param slots the floor of each endpoint
	 * @param now the elapsed time
	 * @return the reports; none for an endpoint that is not in use and whose last report
	 * said so
	 */
	List<ShareReport> reports(SystemConfiguration configuration, Pool pool, PoolGate gate,
			Predicate<EndpointId> reachable, SlotIndex slots, Duration now) {
		List<Endpoint> endpoints = configuration.endpointsOf(pool.id())
			.stream()
			.filter(configuration::inService)
			.toList();
		int waitingPerEndpoint = (gate.waiting() + endpoints.size() - 1) / Math.max(1, endpoints.size());
		List<ShareReport> reports = new ArrayList<>();
		for (Endpoint endpoint : endpoints) {
			if (!reachable.test(endpoint.id())) {
				continue;
			}
			EndpointShare share = shareOf(endpoint.id());
			int floor = share.proven() ? slots.floor(endpoint.id()) : 0;
			int inFlight = gate.inFlight(endpoint.id());
			int wanted = Math.max(0, inFlight + waitingPerEndpoint - floor + headroom(share, inFlight));
			int aboveFloor = Math.max(0, inFlight - floor);
			int granted = share.granted(now);
			ShareReport report = new ShareReport(this.instance, endpoint.id(),
					share.boot().map(Object::toString).orElse(""), granted, aboveFloor, wanted, share.takeGoodAnswers(),
					share.takeFailures());
			boolean empty = wanted + granted + aboveFloor + report.goodAnswers() + report.failures() == 0;
			if (!empty || this.reportedEndpoints.contains(endpoint.id())) {
				reports.add(report);
			}
			updateReported(endpoint.id(), empty);
		}
		return reports;
	}

	// The limiter counts a grant until a report says that the instance holds none, so one
	// empty report must follow the last one that was not empty.
	private void updateReported(EndpointId endpoint, boolean empty) {
		if (empty) {
			this.reportedEndpoints.remove(endpoint);
		}
		else {
			this.reportedEndpoints.add(endpoint);
		}
	}

	// An instance that uses a proven endpoint asks for one unit more than it needs, so
	// that its next call need not wait for a grant.
	private static int headroom(EndpointShare share, int inFlight) {
		return (share.proven() && inFlight > 0) ? 1 : 0;
	}

	private EndpointView view(SystemConfiguration configuration, Endpoint endpoint, SlotIndex slots, Duration now) {
		EndpointShare share = shareOf(endpoint.id());
		int floor = slots.floor(endpoint.id());
		int size = share.share(floor, now);
		String reason = (share.proven() ? "floor " + floor + ", " : "not proven, ") + "grant " + share.granted(now);
		Duration delay = configuration.delayBetween(this.zone, endpoint.zone());
		return new EndpointView(endpoint, share.boot(), size, abandonedCallTime(configuration, endpoint, share), delay,
				reason);
	}

	// A timeout before CONCLUSIVE_SERVICE_TIMES expected service times is no evidence of
	// a fault of the endpoint, so such a call counts as abandoned.
	private static CallOutcome outcomeForShare(SystemConfiguration configuration, Endpoint endpoint,
			CallResult result) {
		Duration conclusiveTime = configuration.pools()
			.get(endpoint.pool())
			.expectedServiceTime()
			.multipliedBy(CONCLUSIVE_SERVICE_TIMES);
		boolean inconclusive = result.outcome() == CallOutcome.TIMED_OUT
				&& result.duration().compareTo(conclusiveTime) < 0;
		return inconclusive ? CallOutcome.ABANDONED : result.outcome();
	}

	// An abandoned call may still be running at the endpoint. At a cold endpoint it
	// counts for as long as any call may run, because a cold endpoint must not exceed
	// its limit even by abandoned calls. A proven endpoint sustains the excess, so there
	// the call stops counting when it has probably ended.
	private static Duration abandonedCallTime(SystemConfiguration configuration, Endpoint endpoint,
			EndpointShare share) {
		Duration expected = configuration.pools().get(endpoint.pool()).expectedServiceTime().multipliedBy(2);
		return share.proven() ? expected : configuration.longestPipelineTimeout();
	}

	private EndpointShare shareOf(EndpointId endpoint) {
		return this.shares.computeIfAbsent(endpoint, (id) -> new EndpointShare());
	}

}
