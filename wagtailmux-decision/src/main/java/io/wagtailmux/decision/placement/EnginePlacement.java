package io.wagtailmux.decision.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.wagtailmux.decision.RendezvousHash;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.Generation;
import io.wagtailmux.model.serving.PromptPart;

/**
 * Chooses the model engine that is expected to give the first token soonest.
 *
 * <p>
 * Instances do not tell each other what they sent where. Each prefers, for the last
 * shared part of a prompt, the same engine by rendezvous hash, and counts the shared
 * parts as cached there; an engine with more work than its share loses that preference by
 * its queue alone.
 *
 * @author the wagtailmux developers
 */
public final class EnginePlacement {

	/** How fast engines are taken to read prompts, until one is measured. */
	private static final double TOKENS_PER_SECOND = 60_000;

	/** What each running request adds to the time until a first token. */
	private static final Duration RUNNING_COST = Duration.ofMillis(3);

	private static final Duration SUSPENDED_COST = Duration.ofSeconds(5);

	private static final Duration WAITING_COST = Duration.ofMillis(60);

	/** The delay that is accepted to save a megabyte between availability zones. */
	private static final Duration OTHER_ZONE_COST_PER_MEGABYTE = Duration.ofMillis(120);

	/**
	 * Chooses an engine.
	 * @param engines those that may be used
	 * @param tried those that had this request already and are not used again
	 * @param generation what is asked for
	 * @param inputs where the results lie that the engine reads before it begins
	 * @param home the availability zone in which requests with the same shared part are
	 * served, whatever their results
	 * @param now the elapsed time
	 * @return the choice; nothing if all were tried
	 */
	public Optional<Placement> choose(List<EndpointLoad> engines, Set<EndpointId> tried, Generation generation,
			InputBytes inputs, Optional<AvailabilityZoneId> home, Duration now) {
		Optional<EndpointLoad> preferred = preferred(engines, generation, home);
		EndpointLoad best = null;
		Duration bestTime = null;
		for (EndpointLoad engine : engines) {
			if (tried.contains(engine.id())) {
				continue;
			}
			boolean keepsPart = preferred.isPresent() && preferred.get() == engine;
			Duration time = firstToken(engine, generation, keepsPart, now).plus(transfer(engine, inputs));
			if (bestTime == null || time.compareTo(bestTime) < 0) {
				best = engine;
				bestTime = time;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		String reason = "first token in " + bestTime.toMillis() + " ms of " + engines.size() + ", preferred "
				+ preferred.map((engine) -> engine.id().value()).orElse("none") + ", unread "
				+ best.pendingPrefillTokens() + ", busy " + best.outstandingRequests(now);
		return Optional.of(new Placement(best, reason));
	}

	/**
	 * Returns the tokens of a prompt that an engine has to read.
	 * @param engine the engine
	 * @param generation what is asked for
	 * @return the number of tokens that this instance did not send there before
	 */
	public static long uncachedTokens(EndpointLoad engine, Generation generation) {
		return Math.max(0, generation.promptTokens() - engine.promptCache().cachedTokens(generation.parts()));
	}

	private static Optional<EndpointLoad> preferred(List<EndpointLoad> engines, Generation generation,
			Optional<AvailabilityZoneId> zone) {
		List<EndpointLoad> near = engines.stream()
			.filter((engine) -> zone.isEmpty() || zone.get().equals(engine.zone()))
			.toList();
		List<EndpointLoad> among = near.isEmpty() ? engines : near;
		return generation.lastSharedPart()
			.flatMap((part) -> among.stream()
				.max(Comparator.comparingInt((engine) -> RendezvousHash.of(part.id(), engine.id()))));
	}

	private static Duration transfer(EndpointLoad engine, InputBytes inputs) {
		double megabytes = inputs.bytesOutside(engine.zone()) / 1e6;
		return Duration.ofNanos((long) (OTHER_ZONE_COST_PER_MEGABYTE.toNanos() * megabytes));
	}

	private static Duration firstToken(EndpointLoad engine, Generation generation, boolean keepsPart, Duration now) {
		long unread = uncachedTokens(engine, generation);
		if (keepsPart) {
			unread = Math.min(unread, ownTokens(generation));
		}
		Duration reading = PromptCacheView.readingTime(engine.pendingPrefillTokens() + unread, TOKENS_PER_SECOND);
		int busy = engine.outstandingRequests(now);
		Duration time = reading.plus(RUNNING_COST.multipliedBy(busy));
		if (busy >= engine.slots()) {
			time = time.plus(WAITING_COST.multipliedBy(busy - engine.slots() + 1L));
		}
		if (engine.suspended(now)) {
			time = time.plus(SUSPENDED_COST);
		}
		double success = engine.successRate(now);
		return Duration.ofNanos((long) ((time.toNanos() + 1e7) / (success * success)));
	}

	private static long ownTokens(Generation generation) {
		long shared = 0;
		List<PromptPart> parts = generation.parts();
		for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
			shared += part.tokens();
		}
		return Math.max(0, generation.promptTokens() - shared);
	}

}
