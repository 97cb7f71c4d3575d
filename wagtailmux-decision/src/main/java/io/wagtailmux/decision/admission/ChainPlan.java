package io.wagtailmux.decision.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;

/**
 * Expected schedule of the stages of a request: when each stage ends, and how much time
 * must remain for the stages after it. Immutable.
 *
 * @author the wagtailmux developers
 */
public final class ChainPlan {

	/** Estimated waits can be wrong by this much. */
	private static final Duration EARLY_MARGIN = Duration.ofMillis(200);

	/** By how much the wait of one stage may exceed its estimate. */
	private static final Duration WAIT_TOLERANCE = Duration.ofMillis(100);

	private final List<ChainStep> steps;

	private final Duration answerTime;

	/**
	 * Creates the plan.
	 * @param steps the stages, in an order in which each follows its dependencies
	 * @param answerTime the time from the end of the last stage to the answer
	 */
	public ChainPlan(List<ChainStep> steps, Duration answerTime) {
		this.steps = List.copyOf(steps);
		this.answerTime = answerTime;
	}

	/**
	 * Returns when the answer is expected.
	 * @return the time from now, including all expected waits
	 */
	public Duration expectedFinish() {
		return finish(ChainStep::time);
	}

	/**
	 * Returns when the answer is expected if nothing waits.
	 * @return the time from now
	 */
	public Duration shortestFinish() {
		return finish(ChainStep::work);
	}

	/**
	 * Returns when the answer is expected, with those waits only that are caused by work
	 * that goes first.
	 * @return the time from now
	 */
	Duration finishBehindOthers() {
		return finish(ChainStep::timeBehindOthers);
	}

	/**
	 * Returns how long the first stage of a request may wait at a pool that has more to
	 * do than it bears, so that later stages still have time for what their estimates may
	 * be wrong by.
	 * @param step the index of the stage
	 * @param untilTarget the time until the answer should start
	 * @return the longest wait; empty if the target cannot be met without any wait either
	 */
	public Optional<Duration> longestWait(int step, Duration untilTarget) {
		if (shortestFinish().compareTo(untilTarget) > 0) {
			return Optional.empty();
		}
		Duration tolerance = WAIT_TOLERANCE.multipliedBy(stagesAfter(step));
		Duration longest = untilTarget.minus(timeFromStart(step)).minus(tolerance);
		return Optional.of(longest.isNegative() ? Duration.ZERO : longest);
	}

	private int stagesAfter(int step) {
		return IntStream.range(step + 1, this.steps.size())
			.filter((next) -> this.steps.get(next).dependencies().contains(step))
			.filter((next) -> !this.steps.get(next).work().isZero())
			.map((next) -> 1 + stagesAfter(next))
			.max()
			.orElse(0);
	}

	/**
	 * Returns how much time must remain when a stage starts its work.
	 * @param step the index of the stage
	 * @return the time from the start of the stage's work to the answer, including the
	 * expected waits of later stages but not its own
	 */
	public Duration timeFromStart(int step) {
		return this.steps.get(step).work().plus(timeAfter(step));
	}

	/**
	 * Returns the minimum time that must remain when a stage has ended. If less remains,
	 * the request misses its deadline in any case and the stage's work is wasted.
	 * @param step the index of the stage
	 * @return the time to the answer if no later stage has to wait
	 */
	public Duration minimumTimeAfter(int step) {
		return timeAfter(step, ChainStep::work);
	}

	/**
	 * Returns when the answer is expected at the earliest, once some stages have ended.
	 * @param ended the indexes of the stages that have ended
	 * @return the time from now if all stages that depend on no unfinished stage ended
	 * now, including the expected waits of the stages after them
	 */
	public Duration timeLeft(Set<Integer> ended) {
		return IntStream.range(0, this.steps.size())
			.filter((step) -> !ended.contains(step))
			.mapToObj(this::timeAfter)
			.max(Duration::compareTo)
			.orElse(this.answerTime);
	}

	/**
	 * Returns whether a stage would end long before another unfinished stage, so that its
	 * result would only be kept until the other result is available. This assumes that
	 * the results are read together.
	 * @param step the index of the stage
	 * @param ended the indexes of the stages that have ended
	 * @return whether another stage needs more time, without its own wait, than this
	 * stage with its wait and a margin
	 */
	public boolean wouldFinishEarly(int step, Set<Integer> ended) {
		Duration own = this.steps.get(step).waiting().time().plus(timeFromStart(step)).plus(EARLY_MARGIN);
		return IntStream.range(0, this.steps.size())
			.filter((other) -> other != step && !ended.contains(other))
			.anyMatch((other) -> timeFromStart(other).compareTo(own) > 0);
	}

	private Duration timeAfter(int step) {
		return timeAfter(step, ChainStep::time);
	}

	private Duration timeAfter(int step, Function<ChainStep, Duration> timeOf) {
		Duration longest = this.answerTime;
		for (int next = step + 1; next < this.steps.size(); next++) {
			if (this.steps.get(next).dependencies().contains(step)) {
				Duration time = timeOf.apply(this.steps.get(next)).plus(timeAfter(next, timeOf));
				longest = (time.compareTo(longest) > 0) ? time : longest;
			}
		}
		return longest;
	}

	private Duration finish(Function<ChainStep, Duration> timeOf) {
		List<Duration> ends = new ArrayList<>();
		for (ChainStep step : this.steps) {
			Duration start = step.dependencies().stream().map(ends::get).max(Duration::compareTo).orElse(Duration.ZERO);
			ends.add(start.plus(timeOf.apply(step)));
		}
		return ends.stream().max(Duration::compareTo).orElse(Duration.ZERO).plus(this.answerTime);
	}

}
