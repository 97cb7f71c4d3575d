package io.wagtailmux.decision.stage;

import java.util.List;

import io.wagtailmux.model.EndpointId;

/**
 * A batch of pieces that is sent to an endpoint in one call.
 *
 * @param endpoint the endpoint
 * @param pieces the pieces, in the order of the call
 * @param reason the figures behind the choice, as text for the log
 * @author the wagtailmux developers
 */
public record PieceBatch(EndpointId endpoint, List<PieceTicket> pieces, String reason) {

}
