package io.wagtailmux.engine.state;

import java.time.Duration;

import io.wagtailmux.model.VersionId;

/**
 * A pool's move to another version, as this instance takes part in it.
 *
 * @param version the version
 * @param order the version of the row by which the move was ordered; it tells orders
 * apart
 * @param orderedAt the elapsed time of the order, as far as known
 * @param phase how far the move has come
 * @param share the part of requests that the version gets, from zero to one
 * @author the wagtailmux developers
 */
public record VersionTrial(VersionId version, long order, Duration orderedAt, TrialPhase phase, double share) {

}
