package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.wagtailmux.decision.stage.BatchPlanner;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.model.EndpointId;

/**
 * Tracks the results that the endpoints of a pool keep, and reports to the planner when
 * their memory is free again, so that no endpoint is given more results than it can
 * store. All results have the same lifetime, so that they expire in the order in which
 * they were added. Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class KeptResults {

	private final BatchPlanner planner;

	private final Duration lifetime;

	private final Map<ResultHandle, KeptResult> results = new LinkedHashMap<>();

	KeptResults(BatchPlanner planner, Duration lifetime) {
		this.planner = planner;
		this.lifetime = lifetime;
	}

	void add(ResultHandle handle, EndpointId endpoint, long bytes, Duration now) {
		this.results.put(handle, new KeptResult(endpoint, bytes, now.plus(this.lifetime)));
	}

	void remove(Collection<ResultHandle> handles) {
		for (ResultHandle handle : handles) {
			KeptResult result = this.results.remove(handle);
			if (result != null) {
				this.planner.onResultsFreed(result.endpoint(), result.bytes());
			}
		}
	}

	void expire(Duration now) {
		Iterator<KeptResult> oldestFirst = this.results.values().iterator();
		while (oldestFirst.hasNext()) {
			KeptResult result = oldestFirst.next();
			if (now.compareTo(result.expiresAt()) < 0) {
				return;
			}
			oldestFirst.remove();
			this.planner.onResultsFreed(result.endpoint(), result.bytes());
		}
	}

	private record KeptResult(EndpointId endpoint, long bytes, Duration expiresAt) {

	}

}
