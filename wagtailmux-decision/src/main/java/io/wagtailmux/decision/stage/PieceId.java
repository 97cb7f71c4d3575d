package io.wagtailmux.decision.stage;

import io.wagtailmux.model.AttemptId;

/**
 * The id of one piece of a stage of a request, as submitted to the owner of its pool. The
 * same piece may be submitted again while it is still at an endpoint: its request runs
 * its stages again, or another instance sends it again after its connection failed.
 *
 * @param attempt the id of the caller's attempt to send the request
 * @param stage the index of the stage, from zero
 * @param piece the index of the piece within the stage, from zero
 * @param submission the number of the submission, different for each group that the owner
 * gets
 * @author the wagtailmux developers
 */
public record PieceId(AttemptId attempt, int stage, int piece, long submission) {

}
