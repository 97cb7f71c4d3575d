package io.wagtailmux.engine.state;

import java.time.Duration;

import io.wagtailmux.decision.rollout.VersionCounts;
import io.wagtailmux.model.PoolId;

/**
 * Report of one instance on a rollout.
 *
 * @param pool the pool
 * @param order the version of the row that ordered the rollout
 * @param age the time since the order, as known to the instance
 * @param stopped whether the instance has stopped the rollout
 * @param tried the answers of the version under trial that the instance counted
 * @param others the answers of other versions that the instance counted
 * @author the wagtailmux developers
 */
public record TrialReport(PoolId pool, long order, Duration age, boolean stopped, VersionCounts tried,
		VersionCounts others) {

}
