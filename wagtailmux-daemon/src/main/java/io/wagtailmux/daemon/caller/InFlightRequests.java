package io.wagtailmux.daemon.caller;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Limit on concurrent requests, which also lets a graceful shutdown wait until the
 * requests in flight have ended. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class InFlightRequests {

	private final int limit;

	private final Semaphore permits;

	private volatile boolean notReady;

	private volatile boolean stopped;

	InFlightRequests(int limit) {
		this.limit = limit;
		this.permits = new Semaphore(limit);
	}

	/**
	 * Acquires a permit for a request without waiting; {@link #release()} returns it.
	 * @return {@code false} if the limit is reached
	 */
	boolean tryAcquire() {
		return this.permits.tryAcquire();
	}

	/**
	 * Releases the permit of a request that has ended.
	 */
	void release() {
		this.permits.release();
	}

	/**
	 * Records that a shutdown has begun. Requests are still admitted.
	 */
	void markNotReady() {
		this.notReady = true;
	}

	/**
	 * Returns whether load balancers should send requests to this instance.
	 * @return {@code false} once a shutdown has begun
	 */
	boolean ready() {
		return !this.notReady;
	}

	/**
	 * Stops admitting requests. Callers of {@link #tryAcquire()} must check
	 * {@link #isAdmitting()} afterwards.
	 */
	void stopAdmitting() {
		this.stopped = true;
	}

	/**
	 * Returns whether requests are admitted.
	 * @return {@code false} if requests are rejected because of a shutdown
	 */
	boolean isAdmitting() {
		return !this.stopped;
	}

	/**
	 * Waits until no request is in flight. On success all permits stay acquired, so no
	 * request is admitted afterwards.
	 * @param timeout the maximum time to wait
	 * @return whether all requests ended within the timeout; {@code false} also if the
	 * thread is interrupted
	 */
	boolean awaitCompletion(Duration timeout) {
		try {
			return this.permits.tryAcquire(this.limit, timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
