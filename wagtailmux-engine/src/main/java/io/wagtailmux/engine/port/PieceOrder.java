package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.decision.stage.PieceId;

/**
 * One piece in a call to an endpoint.
 *
 * @param id the id of the piece
 * @param remaining the endpoint may skip the piece if it has not started within this time
 * @param key the key to work on, for stages without preceding stages; empty for other
 * stages or if the caller stated none
 * @param inputs the results of the preceding stages; empty if there are none
 * @author the wagtailmux developers
 */
public record PieceOrder(PieceId id, Duration remaining, Optional<String> key, List<ResultHandle> inputs) {

}
