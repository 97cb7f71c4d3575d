package io.wagtailmux.decision.poison;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * When prompt parts and requests were last answered without harm to the endpoint, as far
 * as memory allows, and when requests last succeeded at all. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
final class SuspectSuccesses {

	/** For each kind of suspect, so that many requests do not displace prompt parts. */
	private static final int MAXIMUM_SUSPECTS = 4096;

	private static final int MAXIMUM_CALLS = 64;

	private final Map<SuspectKind, Map<String, Duration>> last = new EnumMap<>(SuspectKind.class);

	private Duration firstCallAt;

	private AnswerWatch reportedWatch;

	private final Deque<Call> recentCalls = new ArrayDeque<>();

	void recordCall(Duration startedAt, Duration endedAt) {
		if (this.firstCallAt == null) {
			this.firstCallAt = endedAt;
		}
		this.recentCalls.addLast(new Call(startedAt, endedAt));
		if (this.recentCalls.size() > MAXIMUM_CALLS) {
			this.recentCalls.removeFirst();
		}
	}

	void recordSuspect(String suspect, Duration at) {
		Map<String, Duration> ofKind = this.last.computeIfAbsent(SuspectKind.of(suspect),
				(kind) -> new LinkedHashMap<>(16, 0.75f, true));
		ofKind.merge(suspect, at, (first, second) -> (first.compareTo(second) > 0) ? first : second);
		if (ofKind.size() > MAXIMUM_SUSPECTS) {
			ofKind.remove(ofKind.keySet().iterator().next());
		}
	}

	void recordReportedWatch(AnswerWatch watch) {
		Duration since = (this.reportedWatch != null && this.reportedWatch.since().compareTo(watch.since()) < 0)
				? this.reportedWatch.since() : watch.since();
		this.reportedWatch = new AnswerWatch(since, watch.answerTime());
	}

	/**
	 * Returns for how long answers have been observed.
	 * @return the observation; empty if no answer was recorded or reported
	 */
	Optional<AnswerWatch> watch() {
		if (this.firstCallAt == null) {
			return Optional.ofNullable(this.reportedWatch);
		}
		AnswerWatch own = new AnswerWatch(this.firstCallAt, medianAnswerTime());
		return Optional.of((this.reportedWatch != null) ? own.join(this.reportedWatch) : own);
	}

	private Duration medianAnswerTime() {
		return this.recentCalls.stream()
			.map((call) -> call.endedAt.minus(call.startedAt))
			.sorted()
			.skip(this.recentCalls.size() / 2)
			.findFirst()
			.orElseThrow();
	}

	Optional<Duration> last(String suspect) {
		return Optional.ofNullable(this.last.getOrDefault(SuspectKind.of(suspect), Map.of()).get(suspect));
	}

	boolean containsAll(Collection<String> suspects) {
		return suspects.stream().allMatch((suspect) -> last(suspect).isPresent());
	}

	/**
	 * Returns the end of the first remembered call that began after a time.
	 * @param time the elapsed time
	 * @return the elapsed time of its end; empty if there is none
	 */
	Optional<Duration> firstEndOfCallBegunAfter(Duration time) {
		return this.recentCalls.stream()
			.filter((call) -> call.startedAt.compareTo(time) > 0)
			.map(Call::endedAt)
			.min(Duration::compareTo);
	}

	private record Call(Duration startedAt, Duration endedAt) {

	}

}
