package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;

/**
 * The pieces of one stage of one request, which all have the same inputs.
 *
 * @param attempt the caller's attempt
 * @param stage the index of the stage
 * @param pieces the indexes of the pieces
 * @param key what the work is about; for stages that need no others
 * @param inputs the results that each piece needs
 * @param priority the rank of the request; zero is the most urgent
 * @param remaining the time until the pieces are of no use: what comes after them could
 * not be done any more before the request's deadline
 * @param slack the time until the request cannot be on time any more unless the pieces
 * are begun; negative if it is late already
 * @param resultBytes the approximate size of each result
 * @param home the availability zone in which the results are to be read
 * @param releasableInputPool the pool that keeps the inputs, if nobody else reads them:
 * they are given up once all pieces have read them
 * @author the wagtailmux developers
 */
public record PieceGroup(AttemptId attempt, int stage, List<Integer> pieces, Optional<String> key,
		List<ResultHandle> inputs, int priority, Duration remaining, Duration slack, long resultBytes,
		Optional<AvailabilityZoneId> home, Optional<PoolId> releasableInputPool) {

	/**
	 * Creates the group.
	 */
	public PieceGroup {
		pieces = List.copyOf(pieces);
		inputs = List.copyOf(inputs);
	}

	/**
	 * Returns the same group some time later.
	 * @param elapsed the time that has passed
	 * @return the group with less time
	 */
	public PieceGroup withElapsed(Duration elapsed) {
		return new PieceGroup(this.attempt, this.stage, this.pieces, this.key, this.inputs, this.priority,
				this.remaining.minus(elapsed), this.slack.minus(elapsed), this.resultBytes, this.home,
				this.releasableInputPool);
	}

}
