package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.serving.Generation;

/**
 * Values that a caller stated in the headers of its request.
 *
 * @param attempt the id of this attempt
 * @param remaining how long the caller will wait, counted from the arrival of the request
 * @param key the API key; empty if none was sent
 * @param lastEventId the id of the last event that the caller received of the stream that
 * it resumes; empty if it resumes none
 * @param generation the token counts and prompt parts for a model engine;
 * {@link Generation#NONE} if not stated
 * @param pieces the number of pieces of each stage, by the index of the stage; copied. A
 * stage beyond the end of the list has no pieces
 * @param pieceKey the key that the pieces of the first stages work on; empty if not
 * stated
 * @author the wagtailmux developers
 */
public record CallerRequest(AttemptId attempt, Duration remaining, Optional<String> key, Optional<String> lastEventId,
		Generation generation, List<Integer> pieces, Optional<String> pieceKey) {

	/**
	 * Creates the request.
	 */
	public CallerRequest {
		pieces = List.copyOf(pieces);
	}

}
