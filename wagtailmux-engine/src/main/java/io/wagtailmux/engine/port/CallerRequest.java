package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.serving.Generation;

/**
 * What a caller said beside the bytes of its request.
 *
 * @param attempt the id of this attempt
 * @param remaining how long the caller will wait
 * @param key the key that it showed
 * @param lastEventId the last event that it has of a stream that it resumes
 * @param generation what it asks a model engine for
 * @param pieces the number of pieces of each stage, by the stage's index
 * @param pieceKey what the first stages' work is about
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
