package io.wagtailmux.model.serving;

import java.time.Duration;

/**
 * Capacity of each endpoint of a pool that runs stages in batches. A call carries a batch
 * of pieces.
 *
 * @param slots the number of calls that an endpoint runs concurrently
 * @param queueLimit the number of further calls that an endpoint queues
 * @param maximumPieces the largest number of pieces in a call
 * @param callTime the fixed part of the duration of a call
 * @param pieceTime the approximate time that each piece adds to a call
 * @param resultMemoryBytes the memory for results, in bytes
 * @param resultLifetime how long an endpoint keeps a result that is not freed earlier
 * @author the wagtailmux developers
 */
public record BatchCapacity(int slots, int queueLimit, int maximumPieces, Duration callTime, Duration pieceTime,
		long resultMemoryBytes, Duration resultLifetime) {

	/**
	 * Returns the expected duration of a call.
	 * @param size the number of pieces in the call
	 * @return the expected duration, without time spent in a queue
	 */
	public Duration expectedTime(int size) {
		return this.callTime.plus(this.pieceTime.multipliedBy(size));
	}

}
