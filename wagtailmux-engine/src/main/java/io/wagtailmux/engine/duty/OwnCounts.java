package io.wagtailmux.engine.duty;

import java.util.Map;
import java.util.NavigableMap;

import io.wagtailmux.decision.capacity.DemandSample;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.PoolId;

/**
 * What this instance has counted, at one moment.
 *
 * @param currentWindow the window that it counts in; earlier ones change no more
 * @param usage the requests of the newest windows by organisation
 * @param demands the demand for each pool
 * @author the wagtailmux developers
 */
record OwnCounts(long currentWindow, NavigableMap<Long, Map<OrganisationId, Long>> usage,
		Map<PoolId, DemandSample> demands) {

}
