package io.wagtailmux.decision.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;

/**
 * Chooses among endpoints that serve short requests: the one with the shortest expected
 * response time, divided by the square of its success rate. Among equal endpoints, those
 * in this instance's availability zone are preferred. Not thread-safe.
 *
 * <p>
 * Designed for requests with little slack: a queue of about two at an endpoint makes them
 * late, and so does a slow endpoint.
 *
 * @author the wagtailmux developers
 */
public final class PlainPlacement {

	/** The extra round-trip time to an endpoint in another zone. */
	private static final Duration OTHER_ZONE_COST = Duration.ofMillis(2);

	/** The assumed service time while no endpoint has a recent measurement. */
	private static final Duration DEFAULT_SERVICE_TIME = Duration.ofMillis(25);

	/** Added for a suspended endpoint, so that others are preferred. */
	private static final Duration SUSPENDED_COST = Duration.ofSeconds(5);

	/**
	 * Bound of a random delay that makes instances with equal views choose differently.
	 */
	private static final int TIE_BREAK_MICROSECONDS = 400;

	private final AvailabilityZoneId zone;

	private final RandomGenerator random;

	/**
	 * Creates a placement for one instance.
	 * @param zone the availability zone of this instance
	 * @param random the seeded random number generator that breaks ties
	 */
	public PlainPlacement(AvailabilityZoneId zone, RandomGenerator random) {
		this.zone = zone;
		this.random = random;
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints the usable endpoints
	 * @param tried the endpoints to which this request was sent before; they are excluded
	 * @param now the elapsed time
	 * @return the choice, or empty if all endpoints were tried
	 */
	public Optional<Placement> choose(List<EndpointLoad> endpoints, Set<EndpointId> tried, Duration now) {
		Duration typical = typicalServiceTime(endpoints, now);
		EndpointLoad best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointLoad endpoint : endpoints) {
			if (tried.contains(endpoint.id())) {
				continue;
			}
			double cost = cost(endpoint, typical, now);
			if (cost < bestCost) {
				best = endpoint;
				bestCost = cost;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		String reason = "cost " + Math.round(bestCost * 1e3) + " ms, lowest of " + endpoints.size()
				+ " endpoints, outstanding requests " + best.outstandingRequests(now) + ", slots " + best.slots();
		return Optional.of(new Placement(best, reason));
	}

	/**
	 * Returns the service time that is assumed for endpoints without a recent
	 * measurement. A fixed value above the times of the other endpoints would leave such
	 * an endpoint unused forever.
	 * @param endpoints the usable endpoints
	 * @param now the elapsed time
	 * @return the median of the recently measured service times; 25 ms if there are none
	 */
	private static Duration typicalServiceTime(List<EndpointLoad> endpoints, Duration now) {
		List<Duration> measured = endpoints.stream()
			.flatMap((endpoint) -> endpoint.measuredServiceTime(now).stream())
			.sorted()
			.toList();
		return measured.isEmpty() ? DEFAULT_SERVICE_TIME : measured.get(measured.size() / 2);
	}

	private double cost(EndpointLoad endpoint, Duration typical, Duration now) {
		Duration time = endpoint.expectedFinish(typical, now);
		if (!endpoint.zone().equals(this.zone)) {
			time = time.plus(OTHER_ZONE_COST);
		}
		if (endpoint.suspended(now)) {
			time = time.plus(SUSPENDED_COST);
		}
		time = time.plusNanos(this.random.nextInt(TIE_BREAK_MICROSECONDS) * 1000L);
		double success = endpoint.successRate(now);
		return time.toNanos() / 1e9 / (success * success);
	}

}
