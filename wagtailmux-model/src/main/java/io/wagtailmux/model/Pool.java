package io.wagtailmux.model;

import java.time.Duration;

/**
 * Pool of endpoints that can run the same stages.
 *
 * @param id the pool's id
 * @param protocol the protocol that its endpoints are called with
 * @param idempotent whether repeating a call has no further effect, so that calls may be
 * retried
 * @param contract the concurrency limits of each endpoint
 * @param expectedServiceTime the estimated duration of a call, used until calls have been
 * measured; positive
 * @param queueLimit the most requests that may be queued for this pool on one instance,
 * at least one
 * @author the wagtailmux developers
 */
public record Pool(PoolId id, StageProtocol protocol, boolean idempotent, Contract contract,
		Duration expectedServiceTime, int queueLimit) {

	/**
	 * Creates the pool.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_VALUE} if the queue limit
	 * or the expected service time is not positive
	 */
	public Pool {
		if (queueLimit < 1 || expectedServiceTime.isNegative() || expectedServiceTime.isZero()) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE, "Pool " + id + ": queue-limit " + queueLimit
					+ " and expected-service-time " + expectedServiceTime + " must be positive");
		}
	}

}
