package io.wagtailmux.decision.placement;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.decision.estimate.EndpointSpeed;
import io.wagtailmux.decision.estimate.ServiceTimeEstimate;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;

/**
 * One instance's view of the load of one endpoint: its own calls, the load that the
 * endpoint last reported, service times and the share of good answers. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class EndpointLoad {

	/** After a longer time, most of the requests that a report counted have ended. */
	private static final Duration REPORT_LIFETIME = Duration.ofMillis(500);

	/** After a longer time without answers, the speed of an endpoint may have changed. */
	private static final Duration MEASUREMENT_LIFETIME = Duration.ofSeconds(2);

	private static final Duration MAXIMUM_SUSPENSION = Duration.ofSeconds(2);

	private static final Duration INITIAL_SUSPENSION = Duration.ofMillis(250);

	private final EndpointId id;

	private final AvailabilityZoneId zone;

	private final int slots;

	private final ServiceTimeEstimate serviceTime;

	private final SuccessRate successRate = new SuccessRate();

	private final PromptCacheView promptCache;

	private final EndpointSpeed speed = new EndpointSpeed();

	private Duration answeredAt = MEASUREMENT_LIFETIME.negated();

	private int inFlight;

	private long pendingPrefillTokens;

	private int othersReported;

	private Duration reportedAt = REPORT_LIFETIME.negated();

	private Duration suspendedUntil = Duration.ZERO;

	private Duration suspension = INITIAL_SUSPENSION;

	/**
	 * Creates the load of an endpoint without measurements.
	 * @param id the endpoint
	 * @param zone its availability zone
	 * @param slots the number of requests that it runs concurrently; values below one
	 * count as one
	 * @param expectedServiceTime the service time that is assumed until one is measured
	 * @param cacheTokens the capacity of its prompt cache in tokens; zero if it has none
	 */
	public EndpointLoad(EndpointId id, AvailabilityZoneId zone, int slots, Duration expectedServiceTime,
			long cacheTokens) {
		this.id = id;
		this.zone = zone;
		this.slots = Math.max(1, slots);
		this.serviceTime = new ServiceTimeEstimate(expectedServiceTime);
		this.promptCache = new PromptCacheView(cacheTokens);
	}

	/**
	 * Returns the endpoint.
	 * @return its id
	 */
	public EndpointId id() {
		return this.id;
	}

	/**
	 * Returns the location of the endpoint.
	 * @return its availability zone
	 */
	public AvailabilityZoneId zone() {
		return this.zone;
	}

	/**
	 * Returns this instance's view of the endpoint's prompt cache.
	 * @return the view, which callers update with the prompts that were read
	 */
	public PromptCacheView promptCache() {
		return this.promptCache;
	}

	/**
	 * Returns how long work takes at the endpoint, as far as it states that.
	 * @return the speed, which callers update with statements
	 */
	public EndpointSpeed speed() {
		return this.speed;
	}

	/**
	 * Returns the number of requests that the endpoint runs concurrently.
	 * @return at least one
	 */
	public int slots() {
		return this.slots;
	}

	/**
	 * Updates the load when a call to the endpoint starts.
	 * @param promptTokens the tokens of its prompt that are not cached there
	 */
	public void onCallStarted(long promptTokens) {
		this.inFlight++;
		this.pendingPrefillTokens += promptTokens;
	}

	/**
	 * Updates the load when the prompt of a call has been read, or when the call ends
	 * before that. To be called once for each call.
	 * @param promptTokens the tokens that were passed when the call started
	 */
	public void onPrefillEnded(long promptTokens) {
		this.pendingPrefillTokens -= promptTokens;
	}

	/**
	 * Updates the load when a call ends, whatever its outcome.
	 */
	public void onCallEnded() {
		this.inFlight--;
	}

	/**
	 * Records an answer; a good one resets the duration of the next suspension.
	 * @param good whether it is an answer that a working endpoint gives
	 * @param responseTime the time from the start of the call to the answer, or to the
	 * first event of a stream
	 * @param now the elapsed time
	 */
	public void recordAnswer(boolean good, Duration responseTime, Duration now) {
		this.successRate.add(good, now);
		if (good) {
			this.serviceTime.add(responseTime, now);
			this.answeredAt = now;
			this.suspension = INITIAL_SUSPENSION;
		}
	}

	/**
	 * Records that the endpoint could not be reached or that a call to it broke off. The
	 * endpoint is suspended for a time that doubles with each such failure. Failures
	 * during a suspension do not extend it.
	 * @param now the elapsed time
	 */
	public void recordFailure(Duration now) {
		this.successRate.add(false, now);
		if (now.compareTo(this.suspendedUntil) < 0) {
			return;
		}
		this.suspendedUntil = now.plus(this.suspension);
		Duration doubled = this.suspension.multipliedBy(2);
		this.suspension = (doubled.compareTo(MAXIMUM_SUSPENSION) < 0) ? doubled : MAXIMUM_SUSPENSION;
	}

	/**
	 * Ends a suspension, since the failures that led to it were not the endpoint's.
	 */
	public void forgiveFailures() {
		this.suspendedUntil = Duration.ZERO;
		this.suspension = INITIAL_SUSPENSION;
	}

	/**
	 * Updates the load with the figures that the endpoint reported. Requests beyond this
	 * instance's own are counted as those of other instances.
	 * @param running the number of requests that it ran
	 * @param waiting the number of requests in its queue
	 * @param now the elapsed time
	 */
	public void updateReportedLoad(int running, int waiting, Duration now) {
		this.othersReported = Math.max(0, running + waiting - this.inFlight);
		this.reportedAt = now;
	}

	/**
	 * Returns the estimated number of requests that run or wait at the endpoint.
	 * @param now the elapsed time
	 * @return this instance's calls in flight, plus those of other instances if the
	 * endpoint reported them recently
	 */
	public int outstandingRequests(Duration now) {
		boolean recent = now.minus(this.reportedAt).compareTo(REPORT_LIFETIME) < 0;
		return this.inFlight + (recent ? this.othersReported : 0);
	}

	/**
	 * Returns the number of this instance's calls in flight.
	 * @return the number of calls
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the prompt tokens of this instance's calls that the endpoint still has to
	 * read.
	 * @return the number of tokens
	 */
	public long pendingPrefillTokens() {
		return this.pendingPrefillTokens;
	}

	/**
	 * Returns whether the endpoint is suspended after a connection failure.
	 * @param now the elapsed time
	 * @return whether other endpoints are preferred
	 */
	public boolean suspended(Duration now) {
		return now.compareTo(this.suspendedUntil) < 0;
	}

	/**
	 * Returns the smoothed share of good answers.
	 * @param now the elapsed time
	 * @return a number above zero and at most one
	 */
	public double successRate(Duration now) {
		return this.successRate.value(now);
	}

	/**
	 * Returns the estimated service time, whatever its age.
	 * @param now the elapsed time
	 * @return the estimate; the expected service time until one is measured
	 */
	public Duration serviceTime(Duration now) {
		return this.serviceTime.mean(now);
	}

	/**
	 * Returns the estimated service time if it is recent.
	 * @param now the elapsed time
	 * @return the estimate, or empty if there was no good answer recently
	 */
	public Optional<Duration> measuredServiceTime(Duration now) {
		boolean recent = now.minus(this.answeredAt).compareTo(MEASUREMENT_LIFETIME) < 0;
		return recent ? Optional.of(serviceTime(now)) : Optional.empty();
	}

	/**
	 * Returns the estimated response time of a new request, including its wait in the
	 * queue of the endpoint.
	 * @param typical the service time that is assumed if there is no recent measurement
	 * @param now the elapsed time
	 * @return the estimate
	 */
	public Duration expectedFinish(Duration typical, Duration now) {
		Duration service = measuredServiceTime(now).orElse(typical);
		int ahead = Math.max(0, outstandingRequests(now) + 1 - this.slots);
		return service.plus(service.multipliedBy(ahead).dividedBy(this.slots));
	}

}
