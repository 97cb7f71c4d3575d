package io.wagtailmux.engine.state;

import java.time.Duration;

import io.wagtailmux.decision.rollout.VersionComparison;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.StoreVersion;

/**
 * Report of one instance on a rollout.
 *
 * @param pool the pool
 * @param order the version of the row that ordered the rollout
 * @param age the time since the order, as known to the instance
 * @param stopped whether the instance has stopped the rollout
 * @param answers the answers that the instance counted, by success and time to the answer
 * @param streams the streams that the instance counted, by the pace of their events
 * @author the wagtailmux developers
 */
public record TrialReport(PoolId pool, StoreVersion order, Duration age, boolean stopped, VersionComparison answers,
		VersionComparison streams) {

}
