package io.wagtailmux.decision.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.wagtailmux.model.VersionId;

/**
 * Finds requests, and parts of their prompts, that crash each endpoint of a pool that
 * runs them, and decides which requests to refuse. Not thread-safe.
 *
 * <p>
 * The ids of requests and of parts are handled alike; both are suspects of an end. A
 * request is at one endpoint at a time and is sent to the next one only after an end. So
 * for a request that was never answered, three ends in turn suffice, whether or not
 * others were answered in between, unless most ends of that time have other suspects. If
 * all ends of a part are those of one request, the request is to blame and the part is
 * not.
 *
 * <p>
 * All parts of the requests at an endpoint that ends are suspects. A part is told from
 * those that merely came along by two facts: a request with it has not been answered
 * since, and the ends are separate, which means that other requests were answered in
 * between. Endpoints that are lost together, as in the loss of an availability zone, are
 * therefore one piece of evidence, and a part that is in use elsewhere clears itself.
 *
 * <p>
 * Instances exchange ends, successes of suspects and refusals with the methods below, in
 * any order and any number of times.
 *
 * @author the wagtailmux developers
 */
public final class PoisonDetector {

	/** Separate ends after which a part is refused that was never answered. */
	private static final int ENDS_OF_UNPROVEN = 3;

	/**
	 * Separate ends after which a part is refused that was answered before the first of
	 * them; also the number of ends that suffices although no other request was answered
	 * in between.
	 */
	private static final int ENDS_OF_PROVEN = 5;

	/** Ends that come closer than this without a success in between count as one. */
	private static final Duration END_DISTANCE = Duration.ofSeconds(1);

	/**
	 * Time from the suspicion to the refusal, in which other instances, which exchange
	 * heartbeats twice a second, can report an answer that clears the part.
	 */
	private static final Duration CONFIRMATION_TIME = Duration.ofMillis(600);

	/** A request that is tried again is given this time before the next one. */
	private static final Duration TRIAL_INTERVAL = Duration.ofMinutes(1);

	/** Time for which ends and successes are sent to other instances. */
	private static final Duration REPORTED_TIME = Duration.ofSeconds(6);

	private static final int MAXIMUM_REFUSALS = 64;

	private final PoisonListener listener;

	private final SuspectSuccesses successes = new SuspectSuccesses();

	private final EndLog ends = new EndLog(this.successes);

	private final Map<Set<String>, Suspicion> suspicions = new HashMap<>();

	private final Map<Set<String>, Refusal> refusals = new LinkedHashMap<>();

	private final Map<Set<String>, Duration> nextTrials = new HashMap<>();

	/**
	 * Creates a detector without evidence.
	 * @param listener is told each decision, before the method that made it returns
	 */
	public PoisonDetector(PoisonListener listener) {
		this.listener = listener;
	}

	/**
	 * Judges a request before it is sent to an endpoint.
	 * @param parts the ids of the shared parts of its prompt
	 * @param designated whether this instance is the one that tries certain parts again
	 * once their refusal is over
	 * @param versions the versions of the pool's endpoints
	 * @param now the elapsed time
	 * @return the verdict; {@link PoisonVerdict#ALLOWED} if there are no parts
	 */
	public PoisonVerdict check(Collection<String> parts, Predicate<Set<String>> designated, Set<VersionId> versions,
			Duration now) {
		if (this.refusals.isEmpty() && this.suspicions.isEmpty()) {
			return PoisonVerdict.ALLOWED;
		}
		if (!this.suspicions.isEmpty()) {
			update(now);
		}
		for (Refusal refusal : this.refusals.values()) {
			if (refusal.state() == RefusalState.REFUSED && parts.containsAll(refusal.parts())
					&& !mayTry(refusal, designated, versions, now)) {
				return PoisonVerdict.REFUSED;
			}
		}
		boolean suspected = this.suspicions.keySet().stream().anyMatch(parts::containsAll);
		return suspected ? PoisonVerdict.SUSPECTED : PoisonVerdict.ALLOWED;
	}

	/**
	 * Returns whether all parts are known to have been answered before.
	 * @param parts the ids of the shared parts of a prompt
	 * @return whether a request with them can hardly have crashed its endpoint
	 */
	public boolean proven(Collection<String> parts) {
		return this.successes.containsAll(parts);
	}

	/**
	 * Returns whether a request was at an endpoint when it ended and was not answered
	 * since.
	 * @param request the id of the request
	 * @return whether sending it again may end a further endpoint
	 */
	public boolean hasEnds(String request) {
		return this.ends.count(request) > 0 && !this.ends.endsOf(request).isEmpty();
	}

	/**
	 * Returns whether a request was at the next to last number of ends that suffice to
	 * refuse it, so that it is to be tried without others.
	 * @param request the id of the request
	 * @return whether one more end would be enough if it is the cause
	 */
	public boolean nearlySufficient(String request) {
		return this.ends.count(request) >= ENDS_OF_UNPROVEN - 1
				&& this.ends.endsOf(request).size() >= ENDS_OF_UNPROVEN - 1;
	}

	/**
	 * Records an answer that did no harm to its endpoint.
	 * @param parts the ids of the shared parts of the request's prompt
	 * @param startedAt the elapsed time at which the request was sent
	 * @param now the elapsed time
	 */
	public void recordSuccess(Collection<String> parts, Duration startedAt, Duration now) {
		this.successes.recordCall(startedAt, now);
		this.ends.recordSuccess(startedAt, now);
		parts.forEach((part) -> this.successes.recordSuspect(part, now));
		clearAnswered(parts, now);
	}

	/**
	 * Records an answer that another instance has reported.
	 * @param part the id of a shared part of the request's prompt
	 * @param at the elapsed time of the answer
	 * @param now the elapsed time
	 */
	public void recordReportedSuccess(String part, Duration at, Duration now) {
		this.successes.recordSuspect(part, at);
		Refusal refusal = this.refusals.get(Set.of(part));
		if (refusal != null && refusal.state() == RefusalState.REFUSED && at.compareTo(lastEnd(refusal)) > 0) {
			put(refusal.withState(RefusalState.CLEARED, now), true);
		}
	}

	/**
	 * Returns when the last endpoint ended that is counted against a refusal.
	 * @param refusal the refusal
	 * @return the elapsed time; that of the refusal if the end is no longer remembered
	 */
	private Duration lastEnd(Refusal refusal) {
		return this.ends.all()
			.stream()
			.filter((end) -> end.suspects().containsAll(refusal.parts()))
			.map(EndpointEnd::at)
			.max(Duration::compareTo)
			.orElse(refusal.since());
	}

	/**
	 * Adopts for how long another instance has observed answers. Its answers to suspects
	 * are to be recorded before.
	 * @param watch the observation of the other instance
	 */
	public void recordReportedWatch(AnswerWatch watch) {
		this.successes.recordReportedWatch(watch);
	}

	/**
	 * Records the end of an endpoint, seen by this instance or by another one.
	 * @param end the end, which may be known already
	 * @param now the elapsed time
	 */
	public void recordEnd(EndpointEnd end, Duration now) {
		update(now);
		this.ends.add(end).ifPresent((joined) -> {
			relapse(joined, now);
			suspect(joined, now);
		});
	}

	/**
	 * Confirms or drops suspicions and forgets old evidence. To be called twice a second.
	 * @param now the elapsed time
	 */
	public void update(Duration now) {
		this.ends.removeOld(now);
		Iterator<Map.Entry<Set<String>, Suspicion>> each = this.suspicions.entrySet().iterator();
		List<Refusal> confirmed = new ArrayList<>();
		while (each.hasNext()) {
			Map.Entry<Set<String>, Suspicion> entry = each.next();
			boolean holds = entry.getKey().stream().allMatch(this::sufficient);
			boolean due = now.compareTo(entry.getValue().confirmedAt) >= 0;
			if (!holds) {
				this.listener.onSuspicionEnded(entry.getKey());
			}
			else if (due) {
				confirmed.add(refusal(entry.getKey(), entry.getValue(), now));
			}
			if (!holds || due) {
				each.remove();
			}
		}
		confirmed.forEach((refusal) -> put(refusal, true));
	}

	/**
	 * Adopts a refusal of another instance or of the store, unless a newer state is
	 * known.
	 * @param refusal the refusal
	 * @param now the elapsed time
	 */
	public void merge(Refusal refusal, Duration now) {
		Refusal known = this.refusals.get(refusal.parts());
		if (known != null && known.revision() >= refusal.revision()) {
			return;
		}
		this.suspicions.remove(refusal.parts());
		if (refusal.state() != RefusalState.REFUSED) {
			refusal.parts().forEach((part) -> this.successes.recordSuspect(part, now));
		}
		put(refusal, false);
	}

	/**
	 * Lifts a refusal on behalf of the operator.
	 * @param parts the ids of its parts
	 * @param now the elapsed time
	 * @return whether there was such a refusal
	 */
	public boolean lift(Set<String> parts, Duration now) {
		Refusal known = this.refusals.get(parts);
		if (known == null || known.state() != RefusalState.REFUSED) {
			return false;
		}
		parts.forEach((part) -> this.successes.recordSuspect(part, now));
		put(known.withState(RefusalState.LIFTED, now), true);
		return true;
	}

	/**
	 * Returns the ends to report to other instances.
	 * @param now the elapsed time
	 * @return the ends of the last seconds
	 */
	public List<EndpointEnd> reportedEnds(Duration now) {
		return this.ends.all().stream().filter((end) -> recent(end.at(), now)).toList();
	}

	/**
	 * Returns the answers to report to other instances.
	 * @param now the elapsed time
	 * @return the elapsed time of the last answer to each part that an end made suspect
	 * in the last seconds and that was ever answered
	 */
	public Map<String, Duration> reportedSuccesses(Duration now) {
		Map<String, Duration> reported = new HashMap<>();
		for (EndpointEnd end : reportedEnds(now)) {
			for (String part : end.suspects()) {
				this.successes.last(part).ifPresent((at) -> reported.put(part, at));
			}
		}
		return reported;
	}

	/**
	 * Returns for how long answers have been observed, to report to other instances.
	 * @return the observation; empty if no answer was recorded or reported
	 */
	public Optional<AnswerWatch> answerWatch() {
		return this.successes.watch();
	}

	/**
	 * Returns all refusals, also those that were lifted or cleared.
	 * @return a copy
	 */
	public List<Refusal> refusals() {
		return List.copyOf(this.refusals.values());
	}

	private boolean mayTry(Refusal refusal, Predicate<Set<String>> designated, Set<VersionId> versions, Duration now) {
		if (refusal.binding(versions, now) || !designated.test(refusal.parts())) {
			return false;
		}
		Duration next = this.nextTrials.getOrDefault(refusal.parts(), now);
		if (now.compareTo(next) < 0) {
			return false;
		}
		this.nextTrials.put(refusal.parts(), now.plus(TRIAL_INTERVAL));
		return true;
	}

	/**
	 * Restores refusals that were over or lifted, upon a further end with their parts.
	 * @param end the further end
	 * @param now the elapsed time
	 */
	private void relapse(EndpointEnd end, Duration now) {
		for (Refusal refusal : List.copyOf(this.refusals.values())) {
			boolean involved = end.suspects()
				.containsAll(refusal.parts()) && end.at().compareTo(refusal.since()) > 0 && refusal.parts()
					.stream()
					.noneMatch(
							(part) -> this.successes.last(part).filter((at) -> at.compareTo(end.at()) > 0).isPresent());
			boolean over = refusal.state() == RefusalState.LIFTED
					|| refusal.state() == RefusalState.REFUSED && this.nextTrials.containsKey(refusal.parts());
			if (involved && over) {
				this.nextTrials.remove(refusal.parts());
				put(refusal.afterRelapse(end, now), true);
			}
		}
	}

	private void suspect(EndpointEnd end, Duration now) {
		List<String> all = end.suspects().stream().filter((suspect) -> !held(suspect) && sufficient(suspect)).toList();
		all.stream()
			.filter(SuspectKind.REQUEST::includes)
			.max(Comparator.comparing(this::endsInTurn).thenComparing(this::timeAtEndpoints, Comparator.reverseOrder()))
			.ifPresent((request) -> suspect(Set.of(request), now));
		List<String> candidates = all.stream().filter(SuspectKind.PROMPT_PART::includes).toList();
		if (candidates.isEmpty()) {
			return;
		}
		List<String> unproven = candidates.stream().filter((part) -> this.successes.last(part).isEmpty()).toList();
		suspect(mostEnds(unproven.isEmpty() ? candidates : unproven), now);
	}

	private void suspect(Set<String> group, Duration now) {
		List<EndpointEnd> told = this.ends.endsOf(group.iterator().next());
		this.suspicions.put(group, new Suspicion(now.plus(CONFIRMATION_TIME), told));
		this.listener.onSuspected(group, told);
	}

	private int endsInTurn(String request) {
		return this.ends.countInTurn(unexplainedEnds(request), request);
	}

	/**
	 * Sums the times for which a request was at endpoints before they ended. Of requests
	 * at the same endpoints, one that crashes them as it begins to run was there for the
	 * shortest time.
	 * @param request the id of the request
	 * @return the sum
	 */
	private Duration timeAtEndpoints(String request) {
		return unexplainedEnds(request).stream()
			.map((end) -> end.sentAt(request).map(end.at()::minus).orElse(Duration.ZERO))
			.reduce(Duration.ZERO, Duration::plus);
	}

	/**
	 * Selects the parts with the most unexplained ends.
	 * @param candidates parts with enough unexplained ends
	 * @return the parts; several if they have the same ends
	 */
	private Set<String> mostEnds(List<String> candidates) {
		Map<Set<EndpointRun>, Set<String>> byEnds = new HashMap<>();
		for (String part : candidates) {
			Set<EndpointRun> runs = unexplainedEnds(part).stream().map(EndpointEnd::run).collect(Collectors.toSet());
			byEnds.computeIfAbsent(runs, (ignored) -> new HashSet<>()).add(part);
		}
		return byEnds.entrySet()
			.stream()
			.max(Map.Entry.comparingByKey((first, second) -> Integer.compare(first.size(), second.size())))
			.orElseThrow()
			.getValue();
	}

	private boolean sufficient(String part) {
		if (this.ends.count(part) < ENDS_OF_UNPROVEN) {
			return false;
		}
		List<EndpointEnd> unexplained = unexplainedEnds(part);
		if (unexplained.size() < ENDS_OF_UNPROVEN) {
			return false;
		}
		boolean proven = this.successes.last(part).isPresent();
		if (!proven && SuspectKind.REQUEST.includes(part)) {
			boolean watched = isSuspected(part) || isCoveredByWatch(unexplained);
			return this.ends.countInTurn(unexplained, part) >= (watched ? ENDS_OF_UNPROVEN : ENDS_OF_PROVEN)
					&& this.ends.areHalfOfAll(unexplained);
		}
		int required = proven ? ENDS_OF_PROVEN : ENDS_OF_UNPROVEN;
		return this.ends.countSeparate(unexplained) >= required
				|| !proven && EndLog.countApart(unexplained, END_DISTANCE) >= ENDS_OF_PROVEN;
	}

	/**
	 * Returns whether a suspicion is waiting for its confirmation. It was well-founded
	 * then, so that slower answers of other requests do not end it.
	 * @param suspect the id of the suspect
	 * @return whether it is suspected
	 */
	private boolean isSuspected(String suspect) {
		return this.suspicions.keySet().stream().anyMatch((group) -> group.contains(suspect));
	}

	private boolean isCoveredByWatch(List<EndpointEnd> sorted) {
		Duration first = sorted.get(0).at();
		Duration last = sorted.get(sorted.size() - 1).at();
		return this.successes.watch().filter((watch) -> watch.covers(first, last)).isPresent();
	}

	/**
	 * Returns the ends that a part may have caused, without those that a suspicion or a
	 * refusal of other parts explains.
	 * @param part the id of the part
	 * @return the ends, the first one first
	 */
	private List<EndpointEnd> unexplainedEnds(String part) {
		return this.ends.endsOf(part).stream().filter((end) -> !explained(end, part)).toList();
	}

	private boolean explained(EndpointEnd end, String part) {
		return this.suspicions.keySet().stream().anyMatch((group) -> explains(group, end, part))
				|| this.refusals.values()
					.stream()
					.filter((refusal) -> refusal.state() == RefusalState.REFUSED)
					.anyMatch((refusal) -> explains(refusal.parts(), end, part));
	}

	/**
	 * Returns whether suspects or refused parts explain an end for another suspect. A
	 * request does not explain those of a part that was at all its ends: either may be
	 * the cause, and another request with the part may come.
	 * @param group the other suspects
	 * @param end the end
	 * @param suspect the id of the suspect
	 * @return whether the end is no evidence against it
	 */
	private boolean explains(Set<String> group, EndpointEnd end, String suspect) {
		if (group.contains(suspect) || !end.suspects().containsAll(group)) {
			return false;
		}
		boolean partAndRequest = SuspectKind.PROMPT_PART.includes(suspect)
				&& group.stream().allMatch(SuspectKind.REQUEST::includes);
		return !partAndRequest || !isAtAllEndsOf(group, suspect);
	}

	private boolean isAtAllEndsOf(Set<String> group, String suspect) {
		return this.ends.all()
			.stream()
			.filter((each) -> each.suspects().containsAll(group))
			.allMatch((each) -> each.suspects().contains(suspect));
	}

	private boolean held(String part) {
		return this.suspicions.keySet().stream().anyMatch((group) -> group.size() == 1 && group.contains(part))
				|| this.refusals.values()
					.stream()
					.anyMatch((refusal) -> refusal.state() == RefusalState.REFUSED
							&& refusal.parts().equals(Set.of(part)));
	}

	private void clearAnswered(Collection<String> parts, Duration now) {
		if (this.refusals.isEmpty()) {
			return;
		}
		for (Refusal refusal : List.copyOf(this.refusals.values())) {
			if (refusal.state() == RefusalState.REFUSED && parts.containsAll(refusal.parts())) {
				this.nextTrials.remove(refusal.parts());
				put(refusal.withState(RefusalState.CLEARED, now), true);
			}
		}
	}

	private Refusal refusal(Set<String> parts, Suspicion suspicion, Duration now) {
		Refusal before = this.refusals.get(parts);
		int revision = (before != null) ? before.revision() + 1 : 1;
		int relapses = (before != null) ? before.relapses() : 0;
		Set<VersionId> versions = suspicion.ends.stream().map(EndpointEnd::version).collect(Collectors.toSet());
		List<String> toldBy = suspicion.ends.stream().map((end) -> end.run().toString()).toList();
		return new Refusal(parts, RefusalState.REFUSED, revision, relapses, now, versions, toldBy);
	}

	private void put(Refusal refusal, boolean own) {
		this.refusals.put(refusal.parts(), refusal);
		if (this.refusals.size() > MAXIMUM_REFUSALS) {
			this.refusals.remove(this.refusals.keySet().iterator().next());
		}
		this.listener.onRefusalChanged(refusal, own);
	}

	private static boolean recent(Duration at, Duration now) {
		return now.minus(at).compareTo(REPORTED_TIME) < 0;
	}

	private record Suspicion(Duration confirmedAt, List<EndpointEnd> ends) {

	}

}
