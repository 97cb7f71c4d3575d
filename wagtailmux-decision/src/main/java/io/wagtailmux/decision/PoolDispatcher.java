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
 * Lets the requests of one instance into one pool: who waits, who goes next and where.
 *
 * <p>
 * It has a single owner and is not safe for use by several threads. A ticket that is
 * submitted is either refused at once or waits; {@link #assign} places waiting tickets,
 * each on an endpoint with a free share; each assignment ends with one
 * {@link #recordOutcome} report. For example:
 *
 * <pre class="code">
 * Optional&lt;Refusal&gt; refusal = dispatcher.submit(ticket, now);
 * List&lt;Assignment&gt; assignments = dispatcher.assign();
 * dispatcher.recordOutcome(new CallReport(endpoint, CallOutcome.ANSWERED, took, load));
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class PoolDispatcher {

	private static final int RUNNERS_UP = 3;

	private static final int DEMANDED_SHARE_CALLS = 2;

	private static final Duration SHORTEST_RETRY_AFTER = Duration.ofSeconds(1);

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
	 * @param policy how tickets wait and endpoints are chosen
	 * @param random the seeded source of random numbers
	 */
	public PoolDispatcher(Pool pool, DispatchPolicy policy, RandomGenerator random) {
		this.pool = pool;
		this.policy = policy;
		this.random = random;
		this.queue = policy.queue().create();
		this.poolServiceTime = new ServiceTimeEstimate(pool.expectedServiceTime());
	}

	/**
	 * Takes what the control thread decided about the pool's endpoints. Calls in flight
	 * at an endpoint that is no longer named still end with a report.
	 * @param views all endpoints of the pool
	 */
	public void updateEndpoints(List<EndpointView> views) {
		List<EndpointId> named = views.stream().map((view) -> view.endpoint().id()).toList();
		this.endpoints.forEach((id, traffic) -> {
			if (!named.contains(id)) {
				traffic.view(null);
			}
		});
		for (EndpointView view : views) {
			EndpointTraffic traffic = this.endpoints.computeIfAbsent(view.endpoint().id(),
					(id) -> new EndpointTraffic(this.pool.expectedServiceTime()));
			traffic.view(view);
		}
		this.endpoints.values().removeIf((traffic) -> traffic.view == null && traffic.inFlight == 0);
	}

	/**
	 * Lets a ticket wait, or refuses it at once.
	 * @param ticket the ticket
	 * @param now the elapsed time
	 * @return the refusal, or nothing if the ticket waits
	 */
	public Optional<Refusal> submit(Ticket ticket, Duration now) {
		Optional<Refusal> refusal = judge(ticket, now);
		if (refusal.isEmpty()) {
			this.queue.add(ticket, expectedServiceTime(now));
		}
		return refusal;
	}

	/**
	 * Places waiting tickets on endpoints with free shares.
	 * @param now the elapsed time
	 * @return the assignments, in the order in which they were decided
	 */
	public List<Assignment> assign(Duration now) {
		this.endpoints.values().forEach((traffic) -> traffic.forget(now));
		List<Assignment> assignments = new ArrayList<>();
		Optional<Ticket> next = nextPlaceable(now);
		while (next.isPresent()) {
			assignments.add(place(next.get(), now));
			next = nextPlaceable(now);
		}
		return assignments;
	}

	/**
	 * Takes a ticket out of the queue.
	 * @param ticket the ticket
	 * @return whether it was still waiting; if not, it has been assigned
	 */
	public boolean cancel(Ticket ticket) {
		return this.queue.remove(ticket);
	}

	/**
	 * Takes the report of a call that was assigned. A call that the endpoint may go on
	 * running takes up a part of the share for a while longer.
	 * @param report what became of it
	 * @param now the elapsed time
	 */
	public void recordOutcome(CallReport report, Duration now) {
		EndpointTraffic traffic = this.endpoints.get(report.endpoint());
		if (traffic == null) {
			return;
		}
		traffic.ended(report.outcome(), now);
		report.reportedLoad().ifPresent((load) -> traffic.reportedLoad = load);
		if (report.outcome().successful() || report.outcome() == CallOutcome.TIMED_OUT) {
			traffic.serviceTime.add(report.duration(), now);
			this.poolServiceTime.add(report.duration(), now);
		}
	}

	/**
	 * Takes note of a request that was let in and will come to this pool after earlier
	 * stages, so that requests after it expect to wait for it.
	 * @param organisation whose request it is
	 */
	public void addExpected(OrganisationId organisation) {
		this.queue.addExpected(organisation);
	}

	/**
	 * Takes note that an announced request has come, or will not come.
	 * @param organisation whose request it is
	 */
	public void removeExpected(OrganisationId organisation) {
		this.queue.removeExpected(organisation);
	}

	/**
	 * Returns how long a call to the pool is expected to take, without waiting.
	 * @param now the elapsed time
	 * @return the expected service time
	 */
	public Duration expectedServiceTime(Duration now) {
		return this.poolServiceTime.mean(now);
	}

	/**
	 * Returns how long a new ticket is expected to wait.
	 * @param ticket the ticket
	 * @param now the elapsed time
	 * @return the expected wait
	 */
	public Duration expectedWait(Ticket ticket, Duration now) {
		int free = 0;
		int shares = 0;
		int inService = 0;
		for (EndpointTraffic traffic : this.endpoints.values()) {
			if (traffic.view != null) {
				free += Math.max(0, traffic.view.share() - traffic.inFlight);
				shares += traffic.view.share();
				inService++;
			}
		}
		int ahead = this.queue.ticketsAhead(ticket.organisation().id());
		if (ahead < free) {
			return Duration.ZERO;
		}
		// Shares follow demand, so one that is small or missing now is no measure of what
		// this
		// instance will get once tickets wait; two calls at each endpoint are.
		int parallel = Math.max(1, Math.max(shares, inService * DEMANDED_SHARE_CALLS));
		return expectedServiceTime(now).multipliedBy(ahead - free + 1L).dividedBy(parallel);
	}

	/**
	 * Returns how many tickets wait.
	 * @return the number of tickets
	 */
	public int waiting() {
		return this.queue.size();
	}

	/**
	 * Returns this instance's calls in flight at an endpoint.
	 * @param endpoint the endpoint
	 * @return the number of calls, those included that were given up on and may still run
	 */
	public int inFlight(EndpointId endpoint) {
		EndpointTraffic traffic = this.endpoints.get(endpoint);
		return (traffic != null) ? traffic.inFlight : 0;
	}

	private Optional<Refusal> judge(Ticket ticket, Duration now) {
		if (this.endpoints.values().stream().noneMatch((traffic) -> traffic.eligible(ticket))) {
			return Optional.of(new Refusal(RefusalReason.NO_ELIGIBLE_ENDPOINT, SHORTEST_RETRY_AFTER,
					"no endpoint in service matches '" + ticket.selector() + "'"));
		}
		Duration wait = expectedWait(ticket, now);
		if (this.queue.size() >= this.pool.queueLimit()) {
			return Optional.of(new Refusal(RefusalReason.QUEUE_FULL, retryAfter(wait),
					this.queue.size() + " waiting, limit " + this.pool.queueLimit()));
		}
		Duration expectedEnd = now.plus(wait).plus(expectedServiceTime(now));
		if (this.policy.deadlineAware() && expectedEnd.compareTo(ticket.latestEnd()) > 0) {
			return Optional.of(new Refusal(RefusalReason.DEADLINE_UNREACHABLE, retryAfter(wait), "expected wait " + wait
					+ ", service " + expectedServiceTime(now) + ", left " + ticket.latestEnd().minus(now)));
		}
		return Optional.empty();
	}

	private static Duration retryAfter(Duration wait) {
		return (wait.compareTo(SHORTEST_RETRY_AFTER) > 0) ? wait : SHORTEST_RETRY_AFTER;
	}

	private Optional<Ticket> nextPlaceable(Duration now) {
		boolean anyFree = this.endpoints.values().stream().anyMatch(EndpointTraffic::free);
		return anyFree ? this.queue.poll((ticket) -> !candidates(ticket, now).isEmpty()) : Optional.empty();
	}

	private Assignment place(Ticket ticket, Duration now) {
		List<Candidate> candidates = candidates(ticket, now);
		Candidate chosen = this.policy.choice().choose(candidates, this.turn++, this.random);
		EndpointTraffic traffic = this.endpoints.get(chosen.endpoint().id());
		traffic.inFlight++;
		String reason = this.policy.choice() + " of " + candidates.size() + ", finish in "
				+ chosen.expectedFinish().toMillis() + " ms, share " + chosen.share() + " (" + traffic.view.reason()
				+ ")";
		return new Assignment(ticket, chosen.endpoint(), traffic.view.boot(), traffic.inFlight, reason,
				runnersUp(candidates, chosen));
	}

	private List<Candidate> candidates(Ticket ticket, Duration now) {
		List<Candidate> preferred = new ArrayList<>();
		List<Candidate> avoided = new ArrayList<>();
		for (EndpointTraffic traffic : this.endpoints.values()) {
			if (traffic.eligible(ticket) && traffic.free()) {
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
			.limit(RUNNERS_UP)
			.map((candidate) -> candidate.endpoint().id())
			.toList();
	}

	/**
	 * This instance's traffic with one endpoint.
	 */
	private static final class EndpointTraffic {

		private final ServiceTimeEstimate serviceTime;

		private final Deque<Duration> stillRunning = new ArrayDeque<>();

		private EndpointView view;

		private Labels labels = Labels.NONE;

		private int inFlight;

		private int reportedLoad;

		EndpointTraffic(Duration expectedServiceTime) {
			this.serviceTime = new ServiceTimeEstimate(expectedServiceTime);
		}

		void view(EndpointView next) {
			boolean restarted = this.view != null && next != null && !this.view.boot().equals(next.boot());
			if (restarted) {
				this.inFlight -= this.stillRunning.size();
				this.stillRunning.clear();
			}
			boolean changed = next != null && (this.view == null || this.view.endpoint() != next.endpoint());
			this.labels = changed ? next.endpoint().selectableLabels() : this.labels;
			this.view = next;
		}

		void ended(CallOutcome outcome, Duration now) {
			if (outcome.mayStillRun() && this.view != null) {
				this.stillRunning.add(now.plus(this.view.abandonedCallTime()));
				return;
			}
			this.inFlight--;
		}

		void forget(Duration now) {
			while (!this.stillRunning.isEmpty() && this.stillRunning.peek().compareTo(now) <= 0) {
				this.stillRunning.remove();
				this.inFlight--;
			}
		}

		boolean eligible(Ticket ticket) {
			return this.view != null && ticket.selector().matches(this.labels);
		}

		boolean free() {
			return this.view != null && this.inFlight < this.view.share();
		}

		Candidate candidate(int warmLimit, Duration now) {
			return new Candidate(this.view.endpoint(), this.inFlight, this.view.share(),
					Math.max(this.inFlight, this.reportedLoad), this.serviceTime.mean(now), this.view.linkDelay(),
					warmLimit);
		}

	}

}
