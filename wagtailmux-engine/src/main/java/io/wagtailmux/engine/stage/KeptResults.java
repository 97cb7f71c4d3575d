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
 * The results that endpoints of a pool keep, so that their room is not overrun.
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

	void keep(ResultHandle handle, EndpointId endpoint, long bytes, Duration now) {
		this.results.put(handle, new KeptResult(endpoint, bytes, now.plus(this.lifetime)));
	}

	void forget(Collection<ResultHandle> handles) {
		for (ResultHandle handle : handles) {
			KeptResult result = this.results.remove(handle);
			if (result != null) {
				this.planner.onResultsFreed(result.endpoint(), result.bytes());
			}
		}
	}

	void expire(Duration now) {
		Iterator<KeptResult> oldest = this.results.values().iterator();
		while (oldest.hasNext()) {
			KeptResult result = oldest.next();
			if (now.compareTo(result.until()) < 0) {
				return;
			}
			oldest.remove();
			this.planner.onResultsFreed(result.endpoint(), result.bytes());
		}
	}

	private record KeptResult(EndpointId endpoint, long bytes, Duration until) {

	}

}
