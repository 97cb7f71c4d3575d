package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.decision.stage.PieceId;

/**
 * A piece as an endpoint is asked for it.
 *
 * @param id the piece
 * @param remaining the time after which the endpoint need not begin it
 * @param key what the work is about; for stages that need no others
 * @param inputs the results that the work needs; for all other stages
 * @author the wagtailmux developers
 */
public record PieceOrder(PieceId id, Duration remaining, Optional<String> key, List<ResultHandle> inputs) {

}
