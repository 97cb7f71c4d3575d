package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;

/**
 * When the stages of a request are expected to end, and how much time each leaves to
 * those after it.
 *
 * @author the wagtailmux developers
 */
public final class ChainPlan {

	/** Estimates of waits are this far off at times. */
	private static final Duration EARLY_MARGIN = Duration.ofMillis(200);

	private final List<ChainStep> steps;

	private final Duration last;

	private final List<Duration> ends = new ArrayList<>();

	/**
	 * Creates the plan.
	 * @param steps the stages; each comes after the ones that it needs
	 * @param last the time from the end of all stages to the answer
	 */
	public ChainPlan(List<ChainStep> steps, Duration last) {
		this.steps = List.copyOf(steps);
		this.last = last;
		for (ChainStep step : this.steps) {
			this.ends.add(latest(step.dependencies()).plus(step.time()));
		}
	}

	/**
	 * Returns when the answer is expected.
	 * @return the time from now
	 */
	public Duration expectedFinish() {
		return this.ends.stream().max(Duration::compareTo).orElse(Duration.ZERO).plus(this.last);
	}

	/**
	 * Returns how much time must remain when a stage's work begins.
	 * @param step the index of the stage
	 * @return the time from the begin of its work to the answer, with the expected waits
	 * of the stages after it
	 */
	public Duration timeFromStart(int step) {
		return this.steps.get(step).work().plus(timeAfter(step));
	}

	/**
	 * Returns how much time must remain at least when a stage's work has ended. Work that
	 * ends later is of no use to anybody.
	 * @param step the index of the stage
	 * @return the time to the answer if nothing that comes after has to wait
	 */
	public Duration minimumTimeAfter(int step) {
		return timeAfter(step, ChainStep::work);
	}

	/**
	 * Tells whether a stage would be done long before others whose results are read
	 * together with its own, so that its results would only lie there.
	 * @param step the index of the stage
	 * @param ended the stages whose results are there
	 * @return whether there is more time than it needs, its wait and a margin included
	 */
	public boolean wouldFinishEarly(int step, Set<Integer> ended) {
		Duration own = this.steps.get(step).waiting().plus(timeFromStart(step)).plus(EARLY_MARGIN);
		return IntStream.range(0, this.steps.size())
			.filter((other) -> other != step && !ended.contains(other))
			.anyMatch((other) -> timeFromStart(other).compareTo(own) > 0);
	}

	private Duration timeAfter(int step) {
		return timeAfter(step, ChainStep::time);
	}

	private Duration timeAfter(int step, Function<ChainStep, Duration> timeOf) {
		Duration longest = this.last;
		for (int next = step + 1; next < this.steps.size(); next++) {
			if (this.steps.get(next).dependencies().contains(step)) {
				Duration time = timeOf.apply(this.steps.get(next)).plus(timeAfter(next, timeOf));
				longest = (time.compareTo(longest) > 0) ? time : longest;
			}
		}
		return longest;
	}

	private Duration latest(List<Integer> dependencies) {
		return dependencies.stream().map(this.ends::get).max(Duration::compareTo).orElse(Duration.ZERO);
	}

}
