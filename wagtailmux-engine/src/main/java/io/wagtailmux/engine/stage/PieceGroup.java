package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.decision.stage.PieceUrgency;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;

/**
 * Pieces of one stage of one request, which all have the same inputs. The durations count
 * from the submission of the group.
 *
 * @param attempt the id of the caller's attempt
 * @param stage the index of the stage
 * @param pieces the indexes of the pieces; copied
 * @param key the key to work on, for stages without preceding stages; empty for other
 * stages, or if the caller stated none
 * @param inputs the results that each piece reads; copied
 * @param priority the priority of the request; zero is the most urgent
 * @param remaining the time after which the results are of no use, because the work that
 * follows could not be completed before the deadline of the request
 * @param slack the time until the pieces must start for the request to meet its latency
 * target; negative if it will miss the target
 * @param longestWait the longest expected wait with which the pieces are accepted; empty
 * if they are accepted however much is to be done first, as those of a request for which
 * work was done already
 * @param resultBytes the approximate size of each result, in bytes
 * @param home the availability zone in which the pieces should be executed to avoid large
 * transfers between zones; empty if any will do
 * @param releasableInputPool the pool whose endpoints keep the inputs, if this stage is
 * their only reader and they may be released once all pieces have read them; empty if
 * others read them too
 * @param suspect the identity of the request as a suspect of crashes, the same for all
 * its attempts; empty if another instance did not state it
 * @author the wagtailmux developers
 */
public record PieceGroup(AttemptId attempt, int stage, List<Integer> pieces, Optional<String> key,
		List<ResultHandle> inputs, int priority, Duration remaining, Duration slack, Optional<Duration> longestWait,
		long resultBytes, Optional<AvailabilityZoneId> home, Optional<PoolId> releasableInputPool,
		Optional<String> suspect) {

	/**
	 * Creates the group.
	 */
	public PieceGroup {
		pieces = List.copyOf(pieces);
		inputs = List.copyOf(inputs);
	}

	/**
	 * Returns what decides which other pieces are sent before those of this group.
	 * @return the urgency of its pieces
	 */
	public PieceUrgency urgency() {
		return new PieceUrgency(this.priority, this.slack);
	}

	/**
	 * Returns this group with its remaining time and slack reduced, for submission at a
	 * later time.
	 * @param elapsed the time since the group was submitted
	 * @return the group as of the later time
	 */
	public PieceGroup withElapsed(Duration elapsed) {
		return new PieceGroup(this.attempt, this.stage, this.pieces, this.key, this.inputs, this.priority,
				this.remaining.minus(elapsed), this.slack.minus(elapsed),
				this.longestWait.map((longest) -> longest.minus(elapsed)), this.resultBytes, this.home,
				this.releasableInputPool, this.suspect);
	}

}
