package io.wagtailmux.model.serving;

import java.time.Duration;

/**
 * What one endpoint of a stage pool bears.
 *
 * @param slots calls that run at the same time
 * @param queueLimit further calls that may wait
 * @param maximumPieces the most pieces in a call
 * @param callTime the time of a call beside its pieces
 * @param pieceTime the approximate time of a piece
 * @param resultMemoryBytes the room for results, in bytes
 * @param resultLifetime how long a result is kept if it is not freed
 * @author the wagtailmux developers
 */
public record BatchCapacity(int slots, int queueLimit, int maximumPieces, Duration callTime, Duration pieceTime,
		long resultMemoryBytes, Duration resultLifetime) {

	/**
	 * Returns how long a call takes.
	 * @param size the number of its pieces
	 * @return the expected time
	 */
	public Duration expectedTime(int size) {
		return this.callTime.plus(this.pieceTime.multipliedBy(size));
	}

}
