package io.wagtailmux.daemon.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.wagtailmux.decision.Assignment;
import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.decision.CallReport;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.decision.EndpointView;
import io.wagtailmux.decision.PoolDispatcher;
import io.wagtailmux.decision.Refusal;
import io.wagtailmux.decision.RefusalReason;
import io.wagtailmux.decision.Ticket;
import io.wagtailmux.decision.retry.RetryPolicy;
import io.wagtailmux.decision.retry.RetryVerdict;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.TimeSource;

/**
 * Makes one {@link PoolDispatcher} usable by several threads. All methods may be called
 * from any thread. No thread blocks while it holds the lock, which is the only lock on
 * the path of a request.
 *
 * @author the wagtailmux developers
 */
public final class PoolGate {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<Ticket, CompletableFuture<Assignment>> waiting = new HashMap<>();

	private final RetryPolicy retryPolicy = new RetryPolicy();

	private final boolean deadlineAware;

	private final TimeSource time;

	private final PoolDispatcher dispatcher;

	/**
	 * Creates a gate without endpoints.
	 * @param pool the pool
	 * @param policy how tickets are queued and endpoints are chosen
	 * @param time the clock for deadlines
	 * @param random the source of random numbers for the choice of endpoints
	 */
	PoolGate(Pool pool, DispatchPolicy policy, TimeSource time, RandomGenerator random) {
		this.deadlineAware = policy.deadlineAware();
		this.time = time;
		this.dispatcher = new PoolDispatcher(pool, policy, random);
	}

	/**
	 * Replaces the endpoints and their shares, and assigns waiting tickets.
	 * @param views all endpoints of the pool that are in service
	 */
	public void updateEndpoints(List<EndpointView> views) {
		locked(() -> {
			this.dispatcher.updateEndpoints(views);
			return assignWaiting();
		});
	}

	/**
	 * Queues a ticket and blocks until it is assigned.
	 * @param ticket the ticket
	 * @return the assignment, after which {@link #recordOutcome} must be called once
	 * @throws RefusedException if the ticket is refused at once, if its deadline can no
	 * longer be met, or if the thread is interrupted before the ticket is assigned; the
	 * interrupt flag is set then
	 */
	Assignment acquire(Ticket ticket) throws RefusedException {
		CompletableFuture<Assignment> assignment = new CompletableFuture<>();
		Optional<Refusal> refusal = locked(() -> {
			Optional<Refusal> immediateRefusal = this.dispatcher.submit(ticket, this.time.elapsed());
			if (immediateRefusal.isEmpty()) {
				this.waiting.put(ticket, assignment);
				assignWaiting();
			}
			return immediateRefusal;
		});
		if (refusal.isPresent()) {
			throw new RefusedException(refusal.get());
		}
		return await(ticket, assignment);
	}

	/**
	 * Records the outcome of an assigned call, and assigns waiting tickets.
	 * @param report the outcome of the call
	 */
	void recordOutcome(CallReport report) {
		locked(() -> {
			this.dispatcher.recordOutcome(report, this.time.elapsed());
			return assignWaiting();
		});
	}

	/**
	 * Adds a request that is expected at this pool after its earlier stages, so that the
	 * expected wait of later requests includes it.
	 * @param organisation the organisation of the request
	 */
	void addExpected(OrganisationId organisation) {
		locked(() -> {
			this.dispatcher.addExpected(organisation);
			return Boolean.TRUE;
		});
	}

	/**
	 * Removes an expected request that has arrived, or that will not arrive.
	 * @param organisation the organisation of the request
	 */
	void removeExpected(OrganisationId organisation) {
		locked(() -> {
			this.dispatcher.removeExpected(organisation);
			return Boolean.TRUE;
		});
	}

	/**
	 * Records the first attempt of a stage, which adds to the retry budget.
	 */
	void recordFirstAttempt() {
		locked(() -> {
			this.retryPolicy.recordFirstAttempt(this.time.elapsed());
			return Boolean.TRUE;
		});
	}

	/**
	 * Decides whether a failed attempt is retried.
	 * @param outcome the outcome of the attempt
	 * @param idempotent whether the stage may run more than once
	 * @param attempts the attempts made so far
	 * @param remaining the time until the latest useful end of the stage
	 * @return whether to retry and, if not, why
	 */
	RetryVerdict decideRetry(CallOutcome outcome, boolean idempotent, int attempts, Duration remaining) {
		return locked(() -> this.retryPolicy.decide(outcome, idempotent, attempts, remaining,
				this.dispatcher.expectedServiceTime(this.time.elapsed())));
	}

	/**
	 * Returns the expected time of a call to the pool, without the time in the queue.
	 * @return the expected service time
	 */
	Duration expectedServiceTime() {
		return locked(() -> this.dispatcher.expectedServiceTime(this.time.elapsed()));
	}

	/**
	 * Tells whether a request is refused as soon as its deadline cannot be met.
	 * @return whether the dispatch policy considers deadlines
	 */
	boolean deadlineAware() {
		return this.deadlineAware;
	}

	/**
	 * Returns the expected time of a ticket at this pool, without queuing it.
	 * @param ticket the ticket
	 * @return the expected time in the queue plus the expected service time
	 */
	Duration expectedTime(Ticket ticket) {
		return locked(() -> {
			Duration now = this.time.elapsed();
			return this.dispatcher.expectedWait(ticket, now).plus(this.dispatcher.expectedServiceTime(now));
		});
	}

	/**
	 * Returns the number of tickets in the queue.
	 * @return the number of tickets
	 */
	public int waiting() {
		return locked(this.dispatcher::waiting);
	}

	/**
	 * Returns this instance's calls in flight at an endpoint.
	 * @param endpoint the endpoint
	 * @return the number of calls
	 */
	public int inFlight(EndpointId endpoint) {
		return locked(() -> this.dispatcher.inFlight(endpoint));
	}

	private Assignment await(Ticket ticket, CompletableFuture<Assignment> assignment) throws RefusedException {
		Duration latestStart = this.deadlineAware ? ticket.latestEnd().minus(expectedServiceTime()) : ticket.deadline();
		Duration timeout = latestStart.minus(this.time.elapsed());
		try {
			return assignment.get(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return cancelOrJoin(ticket, assignment);
		}
		catch (InterruptedException | ExecutionException ex) {
			Thread.currentThread().interrupt();
			return cancelOrJoin(ticket, assignment);
		}
	}

	private Assignment cancelOrJoin(Ticket ticket, CompletableFuture<Assignment> assignment) throws RefusedException {
		boolean cancelled = locked(() -> {
			this.waiting.remove(ticket);
			return this.dispatcher.cancel(ticket);
		});
		if (!cancelled) {
			return assignment.join();
		}
		throw new RefusedException(new Refusal(RefusalReason.DEADLINE_UNREACHABLE, RETRY_AFTER,
				"no endpoint became free in time to meet the deadline"));
	}

	private Boolean assignWaiting() {
		for (Assignment assignment : this.dispatcher.assign(this.time.elapsed())) {
			this.waiting.remove(assignment.ticket()).complete(assignment);
		}
		return Boolean.TRUE;
	}

	private <T> T locked(Supplier<T> action) {
		this.lock.lock();
		try {
			return action.get();
		}
		finally {
			this.lock.unlock();
		}
	}

}
