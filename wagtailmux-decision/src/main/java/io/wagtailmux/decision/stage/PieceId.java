package io.wagtailmux.decision.stage;

import io.wagtailmux.model.AttemptId;

/**
 * The id of one piece of a stage of a request.
 *
 * @param attempt the id of the caller's attempt to send the request
 * @param stage the index of the stage, from zero
 * @param piece the index of the piece within the stage, from zero
 * @author the wagtailmux developers
 */
public record PieceId(AttemptId attempt, int stage, int piece) {

}
