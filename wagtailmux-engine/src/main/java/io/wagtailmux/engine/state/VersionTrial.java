package io.wagtailmux.engine.state;

import java.time.Duration;

import io.wagtailmux.model.StoreVersion;
import io.wagtailmux.model.VersionId;

/**
 * Rollout of a version in a pool, as applied by this instance.
 *
 * @param version the version that is rolled out
 * @param order the version of the row that ordered the rollout; identifies the order
 * @param orderedAt the elapsed time of the order, as known to this instance
 * @param phase the phase of the rollout
 * @param share the share of requests that the version gets, from zero to one
 * @author the wagtailmux developers
 */
public record VersionTrial(VersionId version, StoreVersion order, Duration orderedAt, TrialPhase phase, double share) {

}
