package io.wagtailmux.decision;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.wagtailmux.decision.choice.Candidate;
import io.wagtailmux.decision.estimate.ServiceTimeEstimate;
import io.wagtailmux.decision.queue.WaitingQueue;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.Labels;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.Pool;

/**
 * Queues the calls of one instance to one pool and assigns them to endpoints.
 *
 * <p>
 * Not safe for use by several threads. A submitted ticket is either refused at once or
 * queued; it stays in the queue, even after its deadline, until it is assigned or its
 * caller cancels it. {@link #assign} assigns queued tickets to endpoints at which this
 * instance has fewer calls in flight than its share. Each assignment must be followed by
 * exactly one {@link #recordOutcome}. All times are elapsed times of the instance's
 * monotonic clock. For example:
 *
 * <pre class="code">
 * Optional&lt;Refusal&gt; refusal = dispatcher.submit(ticket, now);
 * List&lt;Assignment&gt; assignments = dispatcher.assign(now);
 * dispatcher.recordOutcome(new CallReport(endpoint, CallOutcome.ANSWERED, took, load), now);
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class PoolDispatcher {

	private static final int MAX_RUNNERS_UP = 3;

	private static final int ASSUMED_CALLS_PER_ENDPOINT = 2;

	private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

	private final Pool pool;

	private final DispatchPolicy policy;

	private final RandomGenerator random;

	private final WaitingQueue queue;

	private final ServiceTimeEstimate poolServiceTime;

	private final Map<EndpointId, EndpointTraffic> endpoints = new LinkedHashMap<>();

	private long turn;

	/**
	 * Creates a dispatcher without endpoints.
	 * @param pool the pool
	 * @param policy how tickets are queued and endpoints are chosen
	 * @param random a seeded source of random numbers
	 */
	public PoolDispatcher(Pool pool, DispatchPolicy policy, RandomGenerator random) {
		this.pool = pool;
		this.policy = policy;
		this.random = random;
		this.queue = policy.queue().create();
		this.poolServiceTime = new ServiceTimeEstimate(pool.expectedServiceTime());
	}

	/**
	 * Replaces the endpoints and their shares. An endpoint that is missing gets no new
	 * calls; the outcomes of its calls in flight are still to be recorded. If an endpoint
	 * has another incarnation than before, its abandoned calls no longer count, since
	 * they ended with the previous one.
	 * @param views all endpoints of the pool
	 */
	public void updateEndpoints(List<EndpointView> views) {
		List<EndpointId> current = views.stream().map((view) -> view.endpoint().id()).toList();
		this.endpoints.forEach((id, traffic) -> {
			if (!current.contains(id)) {
				traffic.updateView(null);
			}
		});
		for (EndpointView view : views) {
			EndpointTraffic traffic = this.endpoints.computeIfAbsent(view.endpoint().id(),
					(id) -> new EndpointTraffic(this.pool.expectedServiceTime()));
			traffic.updateView(view);
		}
		this.endpoints.values().removeIf((traffic) -> traffic.view == null && traffic.inFlight == 0);
	}

	/**
	 * Adds a ticket to the queue, or refuses it.
	 * @param ticket the ticket
	 * @param now the elapsed time
	 * @return the refusal; empty if the ticket was queued
	 */
	public Optional<Refusal> submit(Ticket ticket, Duration now) {
		Optional<Refusal> refusal = check(ticket, now);
		if (refusal.isEmpty()) {
			this.queue.add(ticket, expectedServiceTime(now));
		}
		return refusal;
	}

	/**
	 * Assigns as many waiting tickets as the shares at the endpoints allow.
	 * @param now the elapsed time
	 * @return the assignments in the order of decision; empty if no ticket can be
	 * assigned
	 */
	public List<Assignment> assign(Duration now) {
		this.endpoints.values().forEach((traffic) -> traffic.expireAbandonedCalls(now));
		List<Assignment> assignments = new ArrayList<>();
		Optional<Ticket> next = nextAssignable(now);
		while (next.isPresent()) {
			assignments.add(assignTicket(next.get(), now));
			next = nextAssignable(now);
		}
		return assignments;
	}

	/**
	 * Removes a ticket from the queue.
	 * @param ticket the ticket
	 * @return whether the ticket was still waiting; if {@code false}, it was assigned or
	 * cancelled before
	 */
	public boolean cancel(Ticket ticket) {
		return this.queue.remove(ticket);
	}

	/**
	 * Records the outcome of an assigned call. The durations of answered and of timed-out
	 * calls are samples of the service time. A call that the endpoint may still be
	 * running counts against the share until {@link EndpointView#abandonedCallTime()} has
	 * passed, unless the endpoint is missing from the last update. Reports for unknown
	 * endpoints are ignored.
	 * @param report the result of the call
	 * @param now the elapsed time
	 */
	public void recordOutcome(CallReport report, Duration now) {
		EndpointTraffic traffic = this.endpoints.get(report.endpoint());
		if (traffic == null) {
			return;
		}
		traffic.recordEnd(report.outcome(), now);
		report.reportedLoad().ifPresent((load) -> traffic.reportedLoad = load);
		if (report.outcome().successful() || report.outcome() == CallOutcome.TIMED_OUT) {
			traffic.serviceTime.add(report.duration(), now);
			this.poolServiceTime.add(report.duration(), now);
		}
	}

	/**
	 * Counts an admitted request that will need this pool after earlier stages, so that
	 * the expected wait of later requests includes it.
	 * @param organisation the organisation that sent the request
	 */
	public void addExpected(OrganisationId organisation) {
		this.queue.addExpected(organisation);
	}

	/**
	 * Removes a request that was counted with {@link #addExpected}, once its ticket is
	 * submitted or it is known that it will not need the pool.
	 * @param organisation the organisation that sent the request
	 */
	public void removeExpected(OrganisationId organisation) {
		this.queue.removeExpected(organisation);
	}

	/**
	 * Returns how long a call to the pool is expected to take, without the time in the
	 * queue.
	 * @param now the elapsed time
	 * @return the expected service time
	 */
	public Duration expectedServiceTime(Duration now) {
		return this.poolServiceTime.mean(now);
	}

	/**
	 * Returns how long a new ticket is expected to wait in the queue.
	 * @param ticket the ticket
	 * @param now the elapsed time
	 * @return the expected wait; zero if the free shares suffice for this ticket and for
	 * all tickets ahead of it
	 */
	public Duration expectedWait(Ticket ticket, Duration now) {
		int free = 0;
		int totalShare = 0;
		int endpointsInService = 0;
		for (EndpointTraffic traffic : this.endpoints.values()) {
			if (traffic.view != null) {
				free += Math.max(0, traffic.view.share() - traffic.inFlight);
				totalShare += traffic.view.share();
				endpointsInService++;
			}
		}
		int ahead = this.queue.ticketsAhead(ticket.organisation().id());
		if (ahead < free) {
			return Duration.ZERO;
		}
		// Shares are granted by demand, so a small or missing share does not show how
		// many calls will be allowed while tickets wait. Two at each endpoint are
		// assumed.
		int parallel = Math.max(1, Math.max(totalShare, endpointsInService * ASSUMED_CALLS_PER_ENDPOINT));
		return expectedServiceTime(now).multipliedBy(ahead - free + 1L).dividedBy(parallel);
	}

	/**
	 * Returns the length of the queue.
	 * @return the number of waiting tickets
	 */
	public int waiting() {
		return this.queue.size();
	}

	/**
	 * Returns the number of calls that this instance has in flight at an endpoint.
	 * @param endpoint the endpoint
	 * @return the number of calls, including abandoned ones that the endpoint may still
	 * be running; zero for an unknown endpoint
	 */
	public int inFlight(EndpointId endpoint) {
		EndpointTraffic traffic = this.endpoints.get(endpoint);
		return (traffic != null) ? traffic.inFlight : 0;
	}

	private Optional<Refusal> check(Ticket ticket, Duration now) {
		if (this.endpoints.values().stream().noneMatch((traffic) -> traffic.eligible(ticket))) {
			return Optional.of(new Refusal(RefusalReason.NO_ELIGIBLE_ENDPOINT, MIN_RETRY_AFTER,
					"no endpoint in service matches selector '" + ticket.selector() + "'"));
		}
		Duration wait = expectedWait(ticket, now);
		if (this.queue.size() >= this.pool.queueLimit()) {
			return Optional.of(new Refusal(RefusalReason.QUEUE_FULL, retryAfter(wait),
					this.queue.size() + " tickets waiting, queue limit " + this.pool.queueLimit()));
		}
		Duration expectedEnd = now.plus(wait).plus(expectedServiceTime(now));
		if (this.policy.deadlineAware() && expectedEnd.compareTo(ticket.latestEnd()) > 0) {
			return Optional.of(new Refusal(RefusalReason.DEADLINE_UNREACHABLE, retryAfter(wait),
					"expected wait " + wait + ", expected service time " + expectedServiceTime(now) + ", remaining "
							+ ticket.latestEnd().minus(now)));
		}
		return Optional.empty();
	}

	private static Duration retryAfter(Duration wait) {
		return (wait.compareTo(MIN_RETRY_AFTER) > 0) ? wait : MIN_RETRY_AFTER;
	}

	private Optional<Ticket> nextAssignable(Duration now) {
		boolean anyCapacity = this.endpoints.values().stream().anyMatch(EndpointTraffic::hasCapacity);
		return anyCapacity ? this.queue.poll((ticket) -> !candidates(ticket, now).isEmpty()) : Optional.empty();
	}

	private Assignment assignTicket(Ticket ticket, Duration now) {
		List<Candidate> candidates = candidates(ticket, now);
		Candidate chosen = this.policy.choice().choose(candidates, this.turn++, this.random);
		EndpointTraffic traffic = this.endpoints.get(chosen.endpoint().id());
		traffic.inFlight++;
		String reason = this.policy.choice() + " of " + candidates.size() + " candidates, expected finish in "
				+ chosen.expectedFinish().toMillis() + " ms, share " + chosen.share() + " (" + traffic.view.reason()
				+ ")";
		return new Assignment(ticket, chosen.endpoint(), traffic.view.boot(), traffic.inFlight, reason,
				runnersUp(candidates, chosen));
	}

	private List<Candidate> candidates(Ticket ticket, Duration now) {
		List<Candidate> preferred = new ArrayList<>();
		List<Candidate> avoided = new ArrayList<>();
		for (EndpointTraffic traffic : this.endpoints.values()) {
			if (traffic.eligible(ticket) && traffic.hasCapacity()) {
				Endpoint endpoint = traffic.view.endpoint();
				List<Candidate> list = ticket.avoided().contains(endpoint.id()) ? avoided : preferred;
				list.add(traffic.candidate(this.pool.contract().warmLimit(), now));
			}
		}
		return (preferred.isEmpty() && onlyAvoidedEligible(ticket)) ? avoided : preferred;
	}

	private boolean onlyAvoidedEligible(Ticket ticket) {
		return this.endpoints.values()
			.stream()
			.filter((traffic) -> traffic.eligible(ticket))
			.allMatch((traffic) -> ticket.avoided().contains(traffic.view.endpoint().id()));
	}

	private static List<EndpointId> runnersUp(List<Candidate> candidates, Candidate chosen) {
		return candidates.stream()
			.filter((candidate) -> candidate != chosen)
			.sorted(Comparator.comparing(Candidate::expectedFinish))
			.limit(MAX_RUNNERS_UP)
			.map((candidate) -> candidate.endpoint().id())
			.toList();
	}

	/**
	 * Traffic of this instance to one endpoint.
	 */
	private static final class EndpointTraffic {

		private final ServiceTimeEstimate serviceTime;

		private final Deque<Duration> abandonedCallEnds = new ArrayDeque<>();

		private EndpointView view;

		private Labels labels = Labels.NONE;

		private int inFlight;

		private int reportedLoad;

		EndpointTraffic(Duration expectedServiceTime) {
			this.serviceTime = new ServiceTimeEstimate(expectedServiceTime);
		}

		void updateView(EndpointView next) {
			boolean restarted = this.view != null && next != null && !this.view.boot().equals(next.boot());
			if (restarted) {
				this.inFlight -= this.abandonedCallEnds.size();
				this.abandonedCallEnds.clear();
			}
			boolean changed = next != null && (this.view == null || this.view.endpoint() != next.endpoint());
			this.labels = changed ? next.endpoint().selectableLabels() : this.labels;
			this.view = next;
		}

		void recordEnd(CallOutcome outcome, Duration now) {
			if (outcome.mayStillRun() && this.view != null) {
				this.abandonedCallEnds.add(now.plus(this.view.abandonedCallTime()));
				return;
			}
			this.inFlight--;
		}

		void expireAbandonedCalls(Duration now) {
			while (!this.abandonedCallEnds.isEmpty() && this.abandonedCallEnds.peek().compareTo(now) <= 0) {
				this.abandonedCallEnds.remove();
				this.inFlight--;
			}
		}

		boolean eligible(Ticket ticket) {
			return this.view != null && ticket.selector().matches(this.labels);
		}

		boolean hasCapacity() {
			return this.view != null && this.inFlight < this.view.share();
		}

		Candidate candidate(int warmLimit, Duration now) {
			return new Candidate(this.view.endpoint(), this.inFlight, this.view.share(),
					Math.max(this.inFlight, this.reportedLoad), this.serviceTime.mean(now), this.view.linkDelay(),
					warmLimit);
		}

	}

}
