package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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

	private final Map<EndpointId, Set<ResultHandle>> offered = new HashMap<>();

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
				forgetOffer(handle, result);
				this.planner.onResultsFreed(result.endpoint(), result.bytes());
			}
		}
	}

	/**
	 * Notes that results may be released where their memory is needed. Results that are
	 * not known are ignored.
	 * @param handles the results
	 */
	void offer(Collection<ResultHandle> handles) {
		handles.stream()
			.filter(this.results::containsKey)
			.forEach((handle) -> this.offered
				.computeIfAbsent(this.results.get(handle).endpoint(), (ignored) -> new LinkedHashSet<>())
				.add(handle));
	}

	/**
	 * Takes the offered results of the endpoints that lack memory.
	 * @return the results, which are to be released and are not returned again
	 */
	List<ResultHandle> takeNeeded() {
		List<ResultHandle> needed = new ArrayList<>();
		this.offered.entrySet().removeIf((entry) -> {
			if (!this.planner.isShortOfRoom(entry.getKey())) {
				return false;
			}
			entry.getValue().stream().filter(this.results::containsKey).forEach(needed::add);
			return true;
		});
		return needed;
	}

	void expire(Duration now) {
		Iterator<Map.Entry<ResultHandle, KeptResult>> oldestFirst = this.results.entrySet().iterator();
		while (oldestFirst.hasNext()) {
			Map.Entry<ResultHandle, KeptResult> oldest = oldestFirst.next();
			KeptResult result = oldest.getValue();
			if (now.compareTo(result.expiresAt()) < 0) {
				return;
			}
			oldestFirst.remove();
			forgetOffer(oldest.getKey(), result);
			this.planner.onResultsFreed(result.endpoint(), result.bytes());
		}
	}

	private void forgetOffer(ResultHandle handle, KeptResult result) {
		Set<ResultHandle> ofEndpoint = this.offered.get(result.endpoint());
		if (ofEndpoint != null && ofEndpoint.remove(handle) && ofEndpoint.isEmpty()) {
			this.offered.remove(result.endpoint());
		}
	}

	private record KeptResult(EndpointId endpoint, long bytes, Duration expiresAt) {

	}

}
