package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import io.wagtailmux.model.OrganisationId;

/**
 * Counts the requests of this instance that endpoints began to run, by window and
 * organisation. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class UsageCounter {

	private final UsageTiming timing;

	private final NavigableMap<Long, Map<OrganisationId, Long>> counts = new TreeMap<>();

	private Duration trueLessElapsed;

	/**
	 * Creates a counter without counts.
	 * @param timing the windows
	 * @param trueLessElapsed how far the true time is ahead of the elapsed time
	 */
	public UsageCounter(UsageTiming timing, Duration trueLessElapsed) {
		this.timing = timing;
		this.trueLessElapsed = trueLessElapsed;
	}

	/**
	 * Updates the estimate of the true time.
	 * @param trueLessElapsed how far the true time is ahead of the elapsed time
	 */
	public void adjust(Duration trueLessElapsed) {
		this.trueLessElapsed = trueLessElapsed;
	}

	/**
	 * Counts a request.
	 * @param organisation the organisation of the caller
	 * @param elapsed the elapsed time at which the endpoint's first answer arrived
	 */
	public void record(OrganisationId organisation, Duration elapsed) {
		this.counts.computeIfAbsent(currentWindow(elapsed), (ignored) -> new TreeMap<>())
			.merge(organisation, 1L, Long::sum);
		while (this.counts.size() > UsageTiming.KEPT_WINDOWS + 1) {
			this.counts.pollFirstEntry();
		}
	}

	/**
	 * Returns the window that the present lies in.
	 * @param elapsed the elapsed time
	 * @return the number of the window; earlier ones have ended
	 */
	public long currentWindow(Duration elapsed) {
		return this.timing.window(elapsed.plus(this.trueLessElapsed));
	}

	/**
	 * Returns the counts of the newest windows.
	 * @return for each window the requests of each organisation, a copy
	 */
	public NavigableMap<Long, Map<OrganisationId, Long>> counts() {
		NavigableMap<Long, Map<OrganisationId, Long>> copy = new TreeMap<>();
		this.counts.forEach((window, ofWindow) -> copy.put(window, Map.copyOf(ofWindow)));
		return copy;
	}

}
