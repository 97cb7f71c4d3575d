package io.wagtailmux.engine.port;

import io.wagtailmux.model.VersionId;

/**
 * What the operator is told of a move to another version.
 *
 * @param version the version
 * @param state how far the move has come
 * @author the wagtailmux developers
 */
public record RolloutStatus(VersionId version, RolloutState state) {

}
