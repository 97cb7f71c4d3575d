package io.wagtailmux.daemon.caller;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the requests in progress and lets a graceful shutdown wait for them.
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
	 * Lets a request in.
	 * @return whether there was room for it
	 */
	boolean tryAcquire() {
		return this.permits.tryAcquire();
	}

	/**
	 * Takes note that a request ended.
	 */
	void release() {
		this.permits.release();
	}

	/**
	 * Takes note that a shutdown has begun; requests are still let in.
	 */
	void markNotReady() {
		this.notReady = true;
	}

	/**
	 * Tells whether the balancer should send requests here.
	 * @return whether no shutdown has begun
	 */
	boolean ready() {
		return !this.notReady;
	}

	/**
	 * Lets no request in any more.
	 */
	void stopAdmitting() {
		this.stopped = true;
	}

	/**
	 * Tells whether requests are let in.
	 * @return whether requests are not refused for a shutdown
	 */
	boolean isAdmitting() {
		return !this.stopped;
	}

	/**
	 * Waits until no request is in progress.
	 * @param timeout how long to wait
	 * @return whether all ended in time
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
