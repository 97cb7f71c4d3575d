package io.wagtailmux.decision.poison;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The ends of endpoints that are remembered, and for each the first success of a request
 * that was sent afterwards. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
final class EndLog {

	private static final int MAXIMUM_ENDS = 64;

	/** Ends that come closer than this count as at the same time. */
	private static final Duration SAME_TIME = Duration.ofMillis(50);

	/** Differences between the times that messages take. */
	private static final Duration CLOCK_SLACK = Duration.ofMillis(2);

	private static final Duration MAXIMUM_AGE = Duration.ofMinutes(10);

	private final Map<EndpointRun, EndpointEnd> ends = new LinkedHashMap<>();

	private final Map<EndpointRun, Duration> firstSuccessAfter = new LinkedHashMap<>();

	private final Map<String, Integer> endsByPart = new HashMap<>();

	private final SuspectSuccesses successes;

	EndLog(SuspectSuccesses successes) {
		this.successes = successes;
	}

	/**
	 * Adds a report on an end.
	 * @param end the report; joined with earlier reports on the same process
	 * @return the joined report; empty if it contains nothing new
	 */
	Optional<EndpointEnd> add(EndpointEnd end) {
		EndpointEnd before = this.ends.get(end.run());
		EndpointEnd joined = (before != null) ? before.join(end) : end;
		if (before != null && before.suspects().equals(joined.suspects())) {
			// Times from one message are comparable, which those from several are not.
			this.ends.put(end.run(), joined);
			return Optional.empty();
		}
		if (before != null) {
			before.suspects().forEach(this::uncount);
		}
		joined.suspects().forEach((part) -> this.endsByPart.merge(part, 1, Integer::sum));
		this.ends.put(end.run(), joined);
		this.successes.firstEndOfCallBegunAfter(joined.at())
			.ifPresent((at) -> this.firstSuccessAfter.putIfAbsent(end.run(), at));
		if (this.ends.size() > MAXIMUM_ENDS) {
			remove(this.ends.keySet().iterator().next());
		}
		return Optional.of(joined);
	}

	void recordSuccess(Duration startedAt, Duration endedAt) {
		if (this.firstSuccessAfter.size() == this.ends.size()) {
			return;
		}
		for (EndpointEnd end : this.ends.values()) {
			if (startedAt.compareTo(end.at()) > 0) {
				this.firstSuccessAfter.putIfAbsent(end.run(), endedAt);
			}
		}
	}

	void removeOld(Duration now) {
		List<EndpointRun> old = this.ends.values()
			.stream()
			.filter((end) -> now.minus(end.at()).compareTo(MAXIMUM_AGE) > 0)
			.map(EndpointEnd::run)
			.toList();
		old.forEach(this::remove);
	}

	Collection<EndpointEnd> all() {
		return this.ends.values();
	}

	/**
	 * Counts the remembered ends with a request that contained a part.
	 * @param part the id of the part
	 * @return the number, whether or not the part was answered since
	 */
	int count(String part) {
		return this.endsByPart.getOrDefault(part, 0);
	}

	/**
	 * Returns the ends that a part may have caused: those with a request that contained
	 * it, after the last answer to such a request.
	 * @param part the id of the part
	 * @return the ends, the first one first
	 */
	List<EndpointEnd> endsOf(String part) {
		Optional<Duration> lastSuccess = this.successes.last(part);
		return this.ends.values()
			.stream()
			.filter((end) -> end.suspects().contains(part))
			.filter((end) -> lastSuccess.isEmpty() || end.at().compareTo(lastSuccess.get()) > 0)
			.sorted(Comparator.comparing(EndpointEnd::at))
			.toList();
	}

	/**
	 * Counts ends that have separate causes: between two of them, a request was sent and
	 * answered, so that the pool as a whole was working.
	 * @param sorted the ends, the first one first
	 * @return the number; endpoints that were lost together count as one
	 */
	int countSeparate(List<EndpointEnd> sorted) {
		int count = 0;
		EndpointEnd previous = null;
		for (EndpointEnd end : sorted) {
			if (previous == null || succeededBetween(previous, end)) {
				count++;
				previous = end;
			}
		}
		return count;
	}

	/**
	 * Counts ends that one request can have caused one after the other: it was sent to
	 * the next one after the end of the one before, the ends are apart in time, or the
	 * pool worked in between. Endpoints that are lost together count as one, and so do
	 * those that end in silence, of which it is not known when they ended.
	 * @param sorted the ends with the request, the first one first
	 * @param request the id of the request
	 * @return the number
	 */
	int countInTurn(List<EndpointEnd> sorted, String request) {
		int count = 0;
		EndpointEnd previous = null;
		for (EndpointEnd end : sorted) {
			if (previous == null || inTurn(previous, end, request) || succeededBetween(previous, end)) {
				count++;
				previous = end;
			}
		}
		return count;
	}

	/**
	 * Returns whether at least half of the ends in a span of time are among the given
	 * ones.
	 * @param sorted the ends that span the time, the first one first
	 * @return whether they are; ends at the same time count as one
	 */
	boolean areHalfOfAll(List<EndpointEnd> sorted) {
		Duration from = sorted.get(0).at();
		Duration to = sorted.get(sorted.size() - 1).at();
		List<EndpointEnd> others = this.ends.values()
			.stream()
			.filter((end) -> end.at().compareTo(from) >= 0 && end.at().compareTo(to) <= 0)
			.filter((end) -> !sorted.contains(end))
			.sorted(Comparator.comparing(EndpointEnd::at))
			.toList();
		return countApart(others, SAME_TIME) <= sorted.size();
	}

	private static boolean inTurn(EndpointEnd previous, EndpointEnd end, String request) {
		boolean apart = end.at().minus(previous.at()).compareTo(SAME_TIME) >= 0;
		return end.sentAt(request)
			.filter((sent) -> apart || sent.plus(CLOCK_SLACK).compareTo(previous.at()) >= 0)
			.isPresent();
	}

	/**
	 * Counts ends that are apart in time, whether or not the pool worked in between.
	 * @param sorted the ends, the first one first
	 * @param distance the least time between two of them
	 * @return the number
	 */
	static int countApart(List<EndpointEnd> sorted, Duration distance) {
		int count = 0;
		Duration previous = null;
		for (EndpointEnd end : sorted) {
			if (previous == null || end.at().minus(previous).compareTo(distance) >= 0) {
				count++;
				previous = end.at();
			}
		}
		return count;
	}

	private boolean succeededBetween(EndpointEnd first, EndpointEnd second) {
		Duration success = this.firstSuccessAfter.get(first.run());
		return success != null && success.compareTo(second.at()) < 0;
	}

	private void uncount(String part) {
		this.endsByPart.computeIfPresent(part, (ignored, count) -> (count > 1) ? count - 1 : null);
	}

	private void remove(EndpointRun run) {
		this.ends.remove(run).suspects().forEach(this::uncount);
		this.firstSuccessAfter.remove(run);
	}

}
