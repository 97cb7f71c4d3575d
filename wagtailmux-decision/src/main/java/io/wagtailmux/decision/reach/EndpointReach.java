package io.wagtailmux.decision.reach;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;

/**
 * Decides whether this instance is cut off from all endpoints, from the outcome of its
 * attempts to open connections to them.
 *
 * <p>
 * The load that it answers: the links of an instance to all endpoints fail, while callers
 * and other instances still reach it. One endpoint that cannot be reached, or all of an
 * availability zone, is no such failure, so that several endpoints in more than one zone
 * must fail in a row. An attempt that succeeds refutes the failures before it. Instances
 * with few requests make too few attempts, so that it also tells how many endpoints are
 * to be probed. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class EndpointReach {

	/**
	 * Endpoints in a row that could not be reached before this instance is cut off; more
	 * than the three that a request may end in turn.
	 */
	private static final int FAILURES_TO_CONCLUDE = 5;

	/** Endpoints in a row that were reached before the links count as restored. */
	private static final int SUCCESSES_TO_RETURN = 2;

	/** An endpoint that failed earlier says nothing of the present. */
	private static final Duration FAILURE_LIFETIME = Duration.ofSeconds(3);

	/**
	 * Time without an answer to any open call after which the links may have failed.
	 */
	private static final Duration SILENCE = Duration.ofMillis(400);

	private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

	/** Silence is common with few requests, and each probe costs a connection. */
	private static final Duration SILENCE_PROBE_INTERVAL = Duration.ofSeconds(1);

	private static final int PROBES_AFTER_FAILURE = 2;

	private final Map<EndpointId, Failure> failures = new HashMap<>();

	private final Set<EndpointId> reachedInRow = new HashSet<>();

	private Map<EndpointId, AvailabilityZoneId> registered = Map.of();

	private boolean cutOff;

	private Duration probedAt = SILENCE_PROBE_INTERVAL.negated();

	/**
	 * Sets which endpoints are registered. Only those count; with fewer endpoints or
	 * zones than the decision asks for, all of them must fail.
	 * @param endpoints the availability zone of each endpoint
	 */
	public void updateEndpoints(Map<EndpointId, AvailabilityZoneId> endpoints) {
		this.registered = Map.copyOf(endpoints);
		this.failures.keySet().retainAll(endpoints.keySet());
	}

	/**
	 * Records that a connection to an endpoint was opened.
	 * @param endpoint the endpoint
	 * @return whether the links count as restored with this
	 */
	public boolean recordReached(EndpointId endpoint) {
		this.failures.clear();
		if (!this.cutOff) {
			return false;
		}
		this.reachedInRow.add(endpoint);
		this.cutOff = this.reachedInRow.size() < Math.min(SUCCESSES_TO_RETURN, this.registered.size());
		return !this.cutOff;
	}

	/**
	 * Records that no connection to an endpoint could be opened.
	 * @param endpoint the endpoint
	 * @param zone its availability zone
	 * @param now the elapsed time
	 * @return whether this instance counts as cut off with this
	 */
	public boolean recordNotReached(EndpointId endpoint, AvailabilityZoneId zone, Duration now) {
		this.reachedInRow.clear();
		this.failures.values().removeIf((failure) -> now.minus(failure.at()).compareTo(FAILURE_LIFETIME) > 0);
		if (!this.registered.containsKey(endpoint)) {
			return false;
		}
		this.failures.put(endpoint, new Failure(zone, now));
		if (this.cutOff) {
			return false;
		}
		long failedZones = this.failures.values().stream().map(Failure::zone).distinct().count();
		this.cutOff = this.failures.size() >= Math.min(FAILURES_TO_CONCLUDE, this.registered.size())
				&& failedZones >= Math.min(2, Set.copyOf(this.registered.values()).size());
		return this.cutOff;
	}

	/**
	 * Returns whether this instance is cut off from all endpoints.
	 * @return whether calls have to go through another instance
	 */
	public boolean cutOff() {
		return this.cutOff;
	}

	/**
	 * Returns whether an endpoint could not be reached lately, and none was since.
	 * @param now the elapsed time
	 * @return whether a failed attempt may be due to this instance's links
	 */
	public boolean suspected(Duration now) {
		return this.cutOff || this.failures.values()
			.stream()
			.anyMatch((failure) -> now.minus(failure.at()).compareTo(FAILURE_LIFETIME) <= 0);
	}

	/**
	 * Returns how many endpoints are to be probed now.
	 * @param silentFor for how long no endpoint has sent anything although calls are
	 * open; zero if none is
	 * @param now the elapsed time
	 * @return the number; the probes count as made
	 */
	public int takeProbes(Duration silentFor, Duration now) {
		boolean suspected = suspected(now);
		Duration interval = suspected ? PROBE_INTERVAL : SILENCE_PROBE_INTERVAL;
		boolean due = now.minus(this.probedAt).compareTo(interval) >= 0;
		if (!due || (!suspected && silentFor.compareTo(SILENCE) < 0)) {
			return 0;
		}
		this.probedAt = now;
		return suspected ? PROBES_AFTER_FAILURE : 1;
	}

	/**
	 * Returns whether an endpoint is among those that could not be reached, so that a
	 * probe of another one tells more.
	 * @param endpoint the endpoint
	 * @return whether its last attempt failed and none succeeded since
	 */
	public boolean failedLately(EndpointId endpoint) {
		return this.failures.containsKey(endpoint);
	}

	private record Failure(AvailabilityZoneId zone, Duration at) {

	}

}
