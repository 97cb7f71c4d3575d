package io.wagtailmux.decision.placement;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.decision.estimate.ServiceTimeEstimate;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;

/**
 * What one instance knows of one endpoint's load: its own calls, what the endpoint said
 * last, how long answers take and how many are good. It has a single owner.
 *
 * @author the wagtailmux developers
 */
public final class EndpointLoad {

	/** Reports of load say little about the time after the requests then running. */
	private static final Duration REPORT_LIFETIME = Duration.ofMillis(500);

	/** An endpoint that was not used for longer may be slower or faster by now. */
	private static final Duration MEASURE_LIFETIME = Duration.ofSeconds(2);

	private static final Duration LONGEST_SUSPENSION = Duration.ofSeconds(2);

	private static final Duration FIRST_SUSPENSION = Duration.ofMillis(250);

	private final EndpointId id;

	private final AvailabilityZoneId zone;

	private final int slots;

	private final ServiceTimeEstimate serviceTime;

	private final SuccessRate successRate = new SuccessRate();

	private final PromptCacheView promptCache;

	private Duration answeredAt = MEASURE_LIFETIME.negated();

	private int inFlight;

	private long pendingPrefillTokens;

	private int othersReported;

	private Duration reportedAt = REPORT_LIFETIME.negated();

	private Duration suspendedUntil = Duration.ZERO;

	private Duration suspension = FIRST_SUSPENSION;

	/**
	 * Creates the load of an endpoint that nothing is known of yet.
	 * @param id the endpoint
	 * @param zone its availability zone
	 * @param slots the requests that it runs at the same time
	 * @param expectedServiceTime how long an answer takes until one was measured
	 * @param cacheTokens the tokens that fit into its prompt cache; zero if it has none
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
	 * Returns where the endpoint stands.
	 * @return its availability zone
	 */
	public AvailabilityZoneId zone() {
		return this.zone;
	}

	/**
	 * Returns what this instance believes to be cached there.
	 * @return the view
	 */
	public PromptCacheView promptCache() {
		return this.promptCache;
	}

	/**
	 * Returns the requests that the endpoint runs at the same time.
	 * @return at least one
	 */
	public int slots() {
		return this.slots;
	}

	/**
	 * Takes note of a call.
	 * @param promptTokens the tokens of its prompt that are not cached there
	 */
	public void onCallStarted(long promptTokens) {
		this.inFlight++;
		this.pendingPrefillTokens += promptTokens;
	}

	/**
	 * Takes note that a call's prompt has been read, or never will be.
	 * @param promptTokens the tokens that were told at its start
	 */
	public void onPrefillEnded(long promptTokens) {
		this.pendingPrefillTokens -= promptTokens;
	}

	/**
	 * Takes note of the end of a call.
	 */
	public void onCallEnded() {
		this.inFlight--;
	}

	/**
	 * Takes note of an answer.
	 * @param good whether it was one that a sound endpoint gives
	 * @param took the time from the call to the answer, or to a stream's first event
	 * @param now the elapsed time
	 */
	public void recordAnswer(boolean good, Duration took, Duration now) {
		this.successRate.add(good, now);
		if (good) {
			this.serviceTime.add(took, now);
			this.answeredAt = now;
			this.suspension = FIRST_SUSPENSION;
		}
	}

	/**
	 * Takes note that the endpoint could not be reached or broke off. It is avoided for a
	 * time that doubles with each such failure.
	 * @param now the elapsed time
	 */
	public void recordFailure(Duration now) {
		this.successRate.add(false, now);
		if (now.compareTo(this.suspendedUntil) < 0) {
			return;
		}
		this.suspendedUntil = now.plus(this.suspension);
		Duration doubled = this.suspension.multipliedBy(2);
		this.suspension = (doubled.compareTo(LONGEST_SUSPENSION) < 0) ? doubled : LONGEST_SUSPENSION;
	}

	/**
	 * Takes what the endpoint said of its load.
	 * @param running the requests that it ran
	 * @param waiting the requests that waited there
	 * @param now the elapsed time
	 */
	public void updateReportedLoad(int running, int waiting, Duration now) {
		this.othersReported = Math.max(0, running + waiting - this.inFlight);
		this.reportedAt = now;
	}

	/**
	 * Returns the requests that are believed to be there.
	 * @param now the elapsed time
	 * @return this instance's own and, for a while, those of others
	 */
	public int outstandingRequests(Duration now) {
		boolean fresh = now.minus(this.reportedAt).compareTo(REPORT_LIFETIME) < 0;
		return this.inFlight + (fresh ? this.othersReported : 0);
	}

	/**
	 * Returns this instance's calls there.
	 * @return the number of calls in flight
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the prompt tokens of this instance's calls that still have to be read.
	 * @return the number of tokens
	 */
	public long pendingPrefillTokens() {
		return this.pendingPrefillTokens;
	}

	/**
	 * Tells whether the endpoint is avoided after it broke off.
	 * @param now the elapsed time
	 * @return whether others go first
	 */
	public boolean suspended(Duration now) {
		return now.compareTo(this.suspendedUntil) < 0;
	}

	/**
	 * Returns the share of its answers that were good.
	 * @param now the elapsed time
	 * @return a number above zero and at most one
	 */
	public double successRate(Duration now) {
		return this.successRate.value(now);
	}

	/**
	 * Returns how long an answer takes.
	 * @param now the elapsed time
	 * @return the estimate
	 */
	public Duration serviceTime(Duration now) {
		return this.serviceTime.mean(now);
	}

	/**
	 * Returns how long answers took lately.
	 * @param now the elapsed time
	 * @return the estimate; nothing if there was no good answer for a while
	 */
	public Optional<Duration> measuredServiceTime(Duration now) {
		boolean recent = now.minus(this.answeredAt).compareTo(MEASURE_LIFETIME) < 0;
		return recent ? Optional.of(serviceTime(now)) : Optional.empty();
	}

	/**
	 * Returns how long a new request would take, waiting included.
	 * @param typical the service time of endpoints that nothing is known of
	 * @param now the elapsed time
	 * @return the estimate
	 */
	public Duration expectedFinish(Duration typical, Duration now) {
		Duration service = measuredServiceTime(now).orElse(typical);
		int ahead = Math.max(0, outstandingRequests(now) + 1 - this.slots);
		return service.plus(service.multipliedBy(ahead).dividedBy(this.slots));
	}

}
