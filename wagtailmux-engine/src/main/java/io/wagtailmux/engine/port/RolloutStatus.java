package io.wagtailmux.engine.port;

import io.wagtailmux.model.VersionId;

/**
 * Status of a pool's rollout, written for the operator.
 *
 * @param version the version that is rolled out
 * @param state the state of the rollout
 * @author the wagtailmux developers
 */
public record RolloutStatus(VersionId version, RolloutState state) {

}
