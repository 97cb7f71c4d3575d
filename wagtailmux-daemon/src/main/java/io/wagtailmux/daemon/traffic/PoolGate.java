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
 * Lets traffic threads share one {@link PoolDispatcher}. Its lock is the only one on the
 * way of a request; nothing is waited for while it is held.
 *
 * @author the wagtailmux developers
 */
public final class PoolGate {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<Ticket, CompletableFuture<Assignment>> waiting = new HashMap<>();

	private final RetryPolicy retries = new RetryPolicy();

	private final boolean deadlineAware;

	private final TimeSource time;

	private final PoolDispatcher dispatcher;

	/**
	 * Creates a gate without endpoints.
	 * @param pool the pool
	 * @param policy how tickets wait and endpoints are chosen
	 * @param time the clock for deadlines
	 * @param random the seeded source of random numbers
	 */
	PoolGate(Pool pool, DispatchPolicy policy, TimeSource time, RandomGenerator random) {
		this.deadlineAware = policy.deadlineAware();
		this.time = time;
		this.dispatcher = new PoolDispatcher(pool, policy, random);
	}

	/**
	 * Takes what the control thread decided about the pool's endpoints.
	 * @param views the endpoints of the pool that are in service
	 */
	public void update(List<EndpointView> views) {
		locked(() -> {
			this.dispatcher.updateEndpoints(views);
			return placeWaiting();
		});
	}

	/**
	 * Waits until a ticket is assigned.
	 * @param ticket the ticket
	 * @return the assignment
	 * @throws RefusedException if the ticket is refused, at once or once its deadline
	 * cannot be met any more
	 */
	Assignment acquire(Ticket ticket) throws RefusedException {
		CompletableFuture<Assignment> assignment = new CompletableFuture<>();
		Optional<Refusal> refusal = locked(() -> {
			Optional<Refusal> judged = this.dispatcher.submit(ticket, this.time.elapsed());
			if (judged.isEmpty()) {
				this.waiting.put(ticket, assignment);
				placeWaiting();
			}
			return judged;
		});
		if (refusal.isPresent()) {
			throw new RefusedException(refusal.get());
		}
		return await(ticket, assignment);
	}

	/**
	 * Takes the report of a call that was assigned.
	 * @param report what became of it
	 */
	void finished(CallReport report) {
		locked(() -> {
			this.dispatcher.recordOutcome(report, this.time.elapsed());
			return placeWaiting();
		});
	}

	/**
	 * Takes note of a request that will come to this pool after earlier stages.
	 * @param organisation whose request it is
	 */
	void announce(OrganisationId organisation) {
		locked(() -> {
			this.dispatcher.addExpected(organisation);
			return Boolean.TRUE;
		});
	}

	/**
	 * Takes note that an announced request has come, or will not come.
	 * @param organisation whose request it is
	 */
	void arrive(OrganisationId organisation) {
		locked(() -> {
			this.dispatcher.removeExpected(organisation);
			return Boolean.TRUE;
		});
	}

	/**
	 * Takes note of the first attempt of a stage.
	 */
	void firstAttempt() {
		locked(() -> {
			this.retries.recordFirstAttempt(this.time.elapsed());
			return Boolean.TRUE;
		});
	}

	/**
	 * Decides whether a failed attempt is repeated.
	 * @param outcome how the attempt ended
	 * @param idempotent whether the stage may run more than once
	 * @param attempts the attempts made so far
	 * @param left the time until the latest useful end of the stage
	 * @return the verdict
	 */
	RetryVerdict decideRetry(CallOutcome outcome, boolean idempotent, int attempts, Duration left) {
		return locked(() -> this.retries.decide(outcome, idempotent, attempts, left,
				this.dispatcher.expectedServiceTime(this.time.elapsed())));
	}

	/**
	 * Returns how long a call to the pool is expected to take, without waiting.
	 * @return the expected service time
	 */
	Duration expectedServiceTime() {
		return locked(() -> this.dispatcher.expectedServiceTime(this.time.elapsed()));
	}

	/**
	 * Tells whether requests are refused as soon as their deadlines cannot be met.
	 * @return whether the pool's policy says so
	 */
	boolean deadlineAware() {
		return this.deadlineAware;
	}

	/**
	 * Returns how long a ticket is expected to wait and to be served.
	 * @param ticket the ticket
	 * @return the expected time
	 */
	Duration expectedTime(Ticket ticket) {
		return locked(() -> {
			Duration now = this.time.elapsed();
			return this.dispatcher.expectedWait(ticket, now).plus(this.dispatcher.expectedServiceTime(now));
		});
	}

	/**
	 * Returns how many tickets wait.
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
		Duration latest = this.deadlineAware ? ticket.latestEnd().minus(expectedServiceTime()) : ticket.deadline();
		Duration patience = latest.minus(this.time.elapsed());
		try {
			return assignment.get(Math.max(1, patience.toMillis()), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return giveUp(ticket, assignment);
		}
		catch (InterruptedException | ExecutionException ex) {
			Thread.currentThread().interrupt();
			return giveUp(ticket, assignment);
		}
	}

	private Assignment giveUp(Ticket ticket, CompletableFuture<Assignment> assignment) throws RefusedException {
		boolean withdrawn = locked(() -> {
			this.waiting.remove(ticket);
			return this.dispatcher.cancel(ticket);
		});
		if (!withdrawn) {
			return assignment.join();
		}
		throw new RefusedException(new Refusal(RefusalReason.DEADLINE_UNREACHABLE, RETRY_AFTER,
				"no endpoint was free before the latest useful start"));
	}

	private Boolean placeWaiting() {
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
