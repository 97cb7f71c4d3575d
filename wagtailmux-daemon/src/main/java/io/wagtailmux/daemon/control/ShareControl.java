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
 * This instance's shares of all endpoints. Owned by the control thread.
 *
 * @author the wagtailmux developers
 */
final class ShareControl {

	private static final int AMPLE_SERVICE_TIMES = 3;

	private final Map<EndpointId, EndpointShare> shares = new HashMap<>();

	private final Set<EndpointId> reported = new HashSet<>();

	private final InstanceId instance;

	private final AvailabilityZoneId zone;

	ShareControl(InstanceId instance, AvailabilityZoneId zone) {
		this.instance = instance;
		this.zone = zone;
	}

	/**
	 * Forgets endpoints that are not configured any more.
	 * @param configuration the configuration in force
	 */
	void follow(SystemConfiguration configuration) {
		this.shares.keySet().retainAll(configuration.endpoints().keySet());
	}

	/**
	 * Takes the end of a call.
	 * @param assignment the decision to call
	 * @param result how the call ended
	 * @param configuration the configuration in force
	 * @param slots what the slot map says of the endpoints
	 * @param now the elapsed time
	 */
	void callEnded(Assignment assignment, CallResult result, SystemConfiguration configuration, SlotIndex slots,
			Duration now) {
		Endpoint endpoint = assignment.endpoint();
		if (!configuration.endpoints().containsKey(endpoint.id())) {
			return;
		}
		EndpointShare share = shareOf(endpoint.id());
		int size = share.share(slots.floor(endpoint.id()), now);
		share.onCallEnded(evidence(configuration, endpoint, result), assignment.inFlight(), size, now);
		result.boot().ifPresent((boot) -> {
			if (share.boot().isPresent() && !share.boot().get().equals(boot)) {
				share.updateBoot(boot, false);
			}
		});
	}

	/**
	 * Takes grants.
	 * @param grants the grants
	 * @param asked when they were asked for, as elapsed time
	 */
	void take(List<ShareGrant> grants, Duration asked) {
		grants.forEach((grant) -> shareOf(grant.endpoint()).updateGrant(grant, asked));
	}

	/**
	 * Returns what traffic may do at the endpoints of a pool.
	 * @param configuration the configuration in force
	 * @param pool the pool
	 * @param slots what the slot map says of the endpoints
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
	 * Returns what to tell the limiters of a pool's endpoints.
	 * @param configuration the configuration in force
	 * @param pool the pool
	 * @param gate the pool's gate
	 * @param askable tells whether the limiter of an endpoint can be asked now
	 * @param slots what the slot map says of the endpoints
	 * @param now the elapsed time
	 * @return the reports; none for endpoints of which there is nothing to tell or to ask
	 */
	List<ShareReport> reports(SystemConfiguration configuration, Pool pool, PoolGate gate,
			Predicate<EndpointId> askable, SlotIndex slots, Duration now) {
		List<Endpoint> endpoints = configuration.endpointsOf(pool.id())
			.stream()
			.filter(configuration::inService)
			.toList();
		int waitingEach = (gate.waiting() + endpoints.size() - 1) / Math.max(1, endpoints.size());
		List<ShareReport> reports = new ArrayList<>();
		for (Endpoint endpoint : endpoints) {
			if (!askable.test(endpoint.id())) {
				continue;
			}
			EndpointShare share = shareOf(endpoint.id());
			int floor = share.proven() ? slots.floor(endpoint.id()) : 0;
			int inFlight = gate.inFlight(endpoint.id());
			int wanted = Math.max(0, inFlight + waitingEach - floor + headroom(share, inFlight));
			int aboveFloor = Math.max(0, inFlight - floor);
			int granted = share.granted(now);
			ShareReport report = new ShareReport(this.instance, endpoint.id(),
					share.boot().map(Object::toString).orElse(""), granted, aboveFloor, wanted, share.takeGoodAnswers(),
					share.takeFailures());
			boolean empty = wanted + granted + aboveFloor + report.goodAnswers() + report.failures() == 0;
			if (!empty || this.reported.contains(endpoint.id())) {
				reports.add(report);
			}
			remember(endpoint.id(), empty);
		}
		return reports;
	}

	// The limiter keeps what an instance was granted until a report says that it holds
	// nothing
	// any more, so that report must be sent too.
	private void remember(EndpointId endpoint, boolean empty) {
		if (empty) {
			this.reported.remove(endpoint);
		}
		else {
			this.reported.add(endpoint);
		}
	}

	private static int headroom(EndpointShare share, int inFlight) {
		return (share.proven() && inFlight > 0) ? 1 : 0;
	}

	private EndpointView view(SystemConfiguration configuration, Endpoint endpoint, SlotIndex slots, Duration now) {
		EndpointShare share = shareOf(endpoint.id());
		int floor = slots.floor(endpoint.id());
		int size = share.share(floor, now);
		String reason = (share.proven() ? "floor " + floor + ", " : "not proven, ") + "grant " + share.granted(now);
		Duration delay = configuration.delayBetween(this.zone, endpoint.zone());
		return new EndpointView(endpoint, share.boot(), size, afterlife(configuration, endpoint, share), delay, reason);
	}

	// A call that had little time says nothing about the endpoint when that time is up.
	private static CallOutcome evidence(SystemConfiguration configuration, Endpoint endpoint, CallResult result) {
		Duration ample = configuration.pools()
			.get(endpoint.pool())
			.expectedServiceTime()
			.multipliedBy(AMPLE_SERVICE_TIMES);
		boolean hurried = result.outcome() == CallOutcome.TIMED_OUT && result.duration().compareTo(ample) < 0;
		return hurried ? CallOutcome.ABANDONED : result.outcome();
	}

	// A cold endpoint must not get more than it bears even by calls that were given up
	// on, so
	// these count for as long as any call may run; a warm one bears that they are
	// forgotten
	// once they have probably ended.
	private static Duration afterlife(SystemConfiguration configuration, Endpoint endpoint, EndpointShare share) {
		Duration expected = configuration.pools().get(endpoint.pool()).expectedServiceTime().multipliedBy(2);
		return share.proven() ? expected : configuration.longestPipelineTimeout();
	}

	private EndpointShare shareOf(EndpointId endpoint) {
		return this.shares.computeIfAbsent(endpoint, (id) -> new EndpointShare());
	}

}
