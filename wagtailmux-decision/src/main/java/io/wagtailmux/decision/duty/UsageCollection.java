package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;

import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.OrganisationId;

/**
 * Counts of all instances, as they tell them. Answers when instances are killed, repeat
 * themselves, or are overtaken by their own messages: each count replaces the earlier one
 * of the same process and window if it is larger. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class UsageCollection {

	private final UsageTiming timing;

	private final NavigableMap<Long, Map<DutyHolder, Map<OrganisationId, Long>>> windows = new TreeMap<>();

	private final Map<InstanceId, Long> currentWindows = new HashMap<>();

	/**
	 * Creates an empty collection.
	 * @param timing the windows
	 */
	public UsageCollection(UsageTiming timing) {
		this.timing = timing;
	}

	/**
	 * Adds the counts of a process.
	 * @param source the process
	 * @param window the window
	 * @param counts all requests that the process has counted in the window so far, by
	 * organisation
	 * @return how many of the requests were not known before
	 */
	public long merge(DutyHolder source, long window, Map<OrganisationId, Long> counts) {
		Map<OrganisationId, Long> known = this.windows.computeIfAbsent(window, (ignored) -> new HashMap<>())
			.computeIfAbsent(source, (ignored) -> new HashMap<>());
		long before = sum(known);
		counts.forEach((organisation, count) -> known.merge(organisation, count, Math::max));
		while (this.windows.size() > UsageTiming.KEPT_WINDOWS + 1) {
			this.windows.pollFirstEntry();
		}
		return sum(known) - before;
	}

	private static long sum(Map<OrganisationId, Long> counts) {
		return counts.values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns for how many windows there are counts, for metrics.
	 * @return the number
	 */
	public int openWindows() {
		return this.windows.size();
	}

	/**
	 * Notes that an instance has told all its counts of the windows before one.
	 * @param instance the instance
	 * @param currentWindow the window that it counts in now
	 */
	public void onCurrentWindow(InstanceId instance, long currentWindow) {
		this.currentWindows.merge(instance, currentWindow, Math::max);
	}

	/**
	 * Forgets how far instances are that are not expected any more.
	 * @param instances the instances that may be alive
	 */
	public void retain(Set<InstanceId> instances) {
		this.currentWindows.keySet().retainAll(instances);
	}

	/**
	 * Returns the windows for which there are counts.
	 * @return their numbers
	 */
	NavigableSet<Long> windows() {
		return this.windows.navigableKeySet();
	}

	/**
	 * Returns whether the report of a window should wait no longer.
	 * @param window the window
	 * @param expected the instances that may be alive
	 * @param sinceEpoch the true time
	 * @return whether all of them are past it, or the report will soon be due
	 */
	boolean isReady(long window, Set<InstanceId> expected, Duration sinceEpoch) {
		if (sinceEpoch.compareTo(this.timing.end(window)) < 0) {
			return false;
		}
		return sinceEpoch.compareTo(this.timing.lastFix(window)) >= 0 || isComplete(window, expected);
	}

	/**
	 * Returns whether all instances have told their counts of a window.
	 * @param window the window
	 * @param expected the instances that may be alive
	 * @return whether all of them are past it
	 */
	public boolean isComplete(long window, Set<InstanceId> expected) {
		return expected.stream().allMatch((instance) -> this.currentWindows.getOrDefault(instance, 0L) > window);
	}

	/**
	 * Returns the requests of a window.
	 * @param window the window
	 * @return the sums over all processes by organisation
	 */
	public Map<OrganisationId, Long> counts(long window) {
		Map<OrganisationId, Long> sums = new TreeMap<>();
		this.windows.getOrDefault(window, Map.of())
			.values()
			.forEach((ofSource) -> ofSource
				.forEach((organisation, count) -> sums.merge(organisation, count, Long::sum)));
		return sums;
	}

}
