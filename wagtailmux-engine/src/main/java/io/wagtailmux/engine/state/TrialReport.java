package io.wagtailmux.engine.state;

import java.time.Duration;

import io.wagtailmux.decision.rollout.VersionCounts;
import io.wagtailmux.model.PoolId;

/**
 * What one instance says of a move to another version.
 *
 * @param pool the pool
 * @param order the version of the row by which the move was ordered
 * @param age the time since the order, as far as the instance knows
 * @param stopped whether the instance has found the version bad
 * @param tried the answers of the version that it saw
 * @param others the answers of the versions before that it saw
 * @author the wagtailmux developers
 */
public record TrialReport(PoolId pool, long order, Duration age, boolean stopped, VersionCounts tried,
		VersionCounts others) {

}
