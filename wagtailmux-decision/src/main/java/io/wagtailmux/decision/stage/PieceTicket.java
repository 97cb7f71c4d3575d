package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.Optional;

import io.wagtailmux.model.AvailabilityZoneId;

/**
 * A piece that waits to be made.
 *
 * @param id the piece
 * @param priority the rank of its request; zero is the most urgent
 * @param latestStart the elapsed time after which its request cannot be on time any more
 * @param deadline the elapsed time after which its result is of no use: what its request
 * needs beside it could not be done any more
 * @param resultBytes the approximate size of its result
 * @param home the availability zone in which its result is to be read
 * @author the wagtailmux developers
 */
public record PieceTicket(PieceId id, int priority, Duration latestStart, Duration deadline, long resultBytes,
		Optional<AvailabilityZoneId> home) {

}
