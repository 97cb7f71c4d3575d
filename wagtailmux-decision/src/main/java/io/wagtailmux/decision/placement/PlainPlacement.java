package io.wagtailmux.decision.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;

/**
 * Chooses among endpoints that answer short requests: the least expected finish, weighed
 * by how many answers are good, the own availability zone first among equals.
 *
 * <p>
 * It answers load whose requests take about as long as a queue of two: one endpoint that
 * is busy or slow makes them late.
 *
 * @author the wagtailmux developers
 */
public final class PlainPlacement {

	/** The extra time of a way to another zone and back. */
	private static final Duration OTHER_ZONE_COST = Duration.ofMillis(2);

	private static final Duration STANDARD_SERVICE_TIME = Duration.ofMillis(25);

	private static final Duration SUSPENDED_COST = Duration.ofSeconds(5);

	/** Breaks ties, so that instances with equal views choose differently. */
	private static final int TIE_BREAK_MICROSECONDS = 400;

	private final AvailabilityZoneId zone;

	private final RandomGenerator random;

	/**
	 * Creates the choice.
	 * @param zone the availability zone of this instance
	 * @param random the seeded source of random numbers
	 */
	public PlainPlacement(AvailabilityZoneId zone, RandomGenerator random) {
		this.zone = zone;
		this.random = random;
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints those that may be used
	 * @param tried those that had this request already and are not used again
	 * @param now the elapsed time
	 * @return the choice; nothing if all were tried
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
		String reason = "cost " + Math.round(bestCost * 1e3) + " ms of " + endpoints.size() + ", busy "
				+ best.outstandingRequests(now) + "/" + best.slots();
		return Optional.of(new Placement(best, reason));
	}

	/**
	 * Returns what an endpoint that was not used lately is taken to need. A fixed guess
	 * above it would leave such an endpoint unused for good.
	 * @param endpoints those that may be used
	 * @param now the elapsed time
	 * @return the median of what was measured lately
	 */
	private static Duration typicalServiceTime(List<EndpointLoad> endpoints, Duration now) {
		List<Duration> measured = endpoints.stream()
			.flatMap((endpoint) -> endpoint.measuredServiceTime(now).stream())
			.sorted()
			.toList();
		return measured.isEmpty() ? STANDARD_SERVICE_TIME : measured.get(measured.size() / 2);
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
