package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.model.AvailabilityZoneId;

/**
 * A piece in the queue of a stage pool.
 *
 * @param id the id of the piece
 * @param priority the priority of its request; zero is the most urgent
 * @param latestStart the elapsed time after which its request can no longer meet its
 * target time
 * @param deadline the elapsed time after which its result is useless, because the rest of
 * the work for its request could no longer be completed
 * @param resultBytes the approximate size of its result
 * @param home the availability zone in which its result will be read; empty if it does
 * not matter
 * @param isolated whether it shares calls with pieces of its own request only, since that
 * request may crash endpoints
 * @author the wagtailmux developers
 */
public record PieceTicket(PieceId id, int priority, Duration latestStart, Duration deadline, long resultBytes,
		Optional<AvailabilityZoneId> home, boolean isolated) {

	/**
	 * Returns whether this piece may be in one call with another one.
	 * @param other the other piece
	 * @return whether neither is isolated, or both belong to the same request
	 */
	boolean mayShareCallWith(PieceTicket other) {
		return (!this.isolated && !other.isolated) || this.id.attempt().equals(other.id.attempt());
	}

}
