package io.wagtailmux.testbed.load;

import java.time.Duration;
import java.util.List;

/**
 * The load that a {@link LoadGenerator} sends.
 *
 * @param seed the seed of the random arrival times
 * @param duration the time from the start during which requests are sent
 * @param sources the sources of requests, whose loads are added up
 * @author the wagtailmux developers
 */
public record LoadPlan(long seed, Duration duration, List<LoadSource> sources) {

	/**
	 * Creates the plan with a copy of the sources.
	 */
	public LoadPlan {
		sources = List.copyOf(sources);
	}

}
