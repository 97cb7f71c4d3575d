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
 * Chooses the model engine with the shortest expected time to the first token.
 *
 * <p>
 * Instances do not exchange where they sent requests. Instead, all instances prefer the
 * same engine for the last shared part of a prompt, by rendezvous hash, and count the
 * shared parts as cached there. Another engine is chosen if its first token is expected
 * earlier although it has to read the shared parts, for example because the preferred
 * engine has a long queue.
 *
 * @author the wagtailmux developers
 */
public final class EnginePlacement {

	/** The rate at which engines are assumed to read prompts. */
	private static final double PREFILL_TOKENS_PER_SECOND = 60_000;

	/** Added to the expected time to the first token for each request at the engine. */
	private static final Duration RUNNING_COST = Duration.ofMillis(3);

	/** Added for a suspended engine, so that other engines are preferred. */
	private static final Duration SUSPENDED_COST = Duration.ofSeconds(5);

	/** Added for each request that has to end before a new one gets a slot. */
	private static final Duration WAITING_COST = Duration.ofMillis(60);

	/** The delay that is accepted to avoid a transfer of a megabyte between zones. */
	private static final Duration OTHER_ZONE_COST_PER_MEGABYTE = Duration.ofMillis(120);

	/**
	 * Chooses an engine.
	 * @param engines the usable engines
	 * @param tried the engines to which this request was sent before; they are excluded
	 * @param generation the requested generation
	 * @param inputs the stage results that the engine reads before it starts, by
	 * availability zone
	 * @param home the availability zone in which the preferred engine is sought, wherever
	 * the stage results are; if it is empty or no engine is in the zone, the engine is
	 * sought in all zones
	 * @param now the elapsed time
	 * @return the choice, or empty if all engines were tried
	 */
	public Optional<Placement> choose(List<EndpointLoad> engines, Set<EndpointId> tried, Generation generation,
			InputBytes inputs, Optional<AvailabilityZoneId> home, Duration now) {
		Optional<EndpointLoad> preferred = preferred(engines, generation, home, now);
		EndpointLoad best = null;
		Duration bestTime = null;
		for (EndpointLoad engine : engines) {
			if (tried.contains(engine.id())) {
				continue;
			}
			boolean expectedCached = preferred.isPresent() && preferred.get() == engine;
			Duration time = timeToFirstToken(engine, generation, expectedCached, now)
				.plus(transferCost(engine, inputs));
			if (bestTime == null || time.compareTo(bestTime) < 0) {
				best = engine;
				bestTime = time;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		String reason = "first token in " + bestTime.toMillis() + " ms, best of " + engines.size()
				+ " engines, preferred " + preferred.map((engine) -> engine.id().value()).orElse("none")
				+ ", pending prefill tokens " + best.pendingPrefillTokens() + ", outstanding requests "
				+ best.outstandingRequests(now);
		return Optional.of(new Placement(best, reason));
	}

	/**
	 * Returns the number of prompt tokens that an engine is expected to read.
	 * @param engine the engine
	 * @param generation the requested generation
	 * @return the tokens outside the cached prefix, as far as this instance has sent the
	 * prompt parts to the engine before
	 */
	public static long uncachedTokens(EndpointLoad engine, Generation generation) {
		return Math.max(0, generation.promptTokens() - engine.promptCache().cachedTokens(generation.parts()));
	}

	/**
	 * Returns the engine that all instances prefer for the last shared part of a prompt.
	 * Where engines state how long work takes there, the faster ones are preferred for
	 * more parts.
	 * @param engines the usable engines
	 * @param generation the requested generation
	 * @param zone the availability zone in which it is sought, if there is one in it
	 * @param now the elapsed time
	 * @return the engine; empty if the prompt has no shared part
	 */
	private static Optional<EndpointLoad> preferred(List<EndpointLoad> engines, Generation generation,
			Optional<AvailabilityZoneId> zone, Duration now) {
		List<EndpointLoad> inZone = engines.stream()
			.filter((engine) -> zone.isEmpty() || zone.get().equals(engine.zone()))
			.toList();
		List<EndpointLoad> candidates = inZone.isEmpty() ? engines : inZone;
		boolean statesSpeeds = candidates.stream().anyMatch((engine) -> engine.speed().lasting(now).isPresent());
		return generation.lastSharedPart()
			.flatMap((part) -> candidates.stream()
				.max(statesSpeeds ? Comparator.comparingDouble((engine) -> speedWeightedScore(part.id(), engine, now))
						: Comparator.comparingInt((engine) -> RendezvousHash.of(part.id(), engine.id()))));
	}

	private static double speedWeightedScore(String part, EndpointLoad engine, Duration now) {
		return RendezvousHash.weightedScore(part, engine.id(), 1 / engine.speed().lasting(now).orElse(1));
	}

	private static Duration transferCost(EndpointLoad engine, InputBytes inputs) {
		double megabytes = inputs.bytesOutside(engine.zone()) / 1e6;
		return Duration.ofNanos((long) (OTHER_ZONE_COST_PER_MEGABYTE.toNanos() * megabytes));
	}

	private static Duration timeToFirstToken(EndpointLoad engine, Generation generation, boolean expectedCached,
			Duration now) {
		long uncached = uncachedTokens(engine, generation);
		if (expectedCached) {
			uncached = Math.min(uncached, unsharedTokens(generation));
		}
		Duration prefill = PromptCacheView.readingTime(engine.pendingPrefillTokens() + uncached,
				PREFILL_TOKENS_PER_SECOND);
		int requests = engine.outstandingRequests(now);
		Duration usual = prefill.plus(RUNNING_COST.multipliedBy(requests));
		Duration time = Duration.ofNanos((long) (usual.toNanos() * engine.speed().present(now)));
		if (requests >= engine.slots()) {
			time = time.plus(WAITING_COST.multipliedBy(requests - engine.slots() + 1L));
		}
		if (engine.suspended(now)) {
			time = time.plus(SUSPENDED_COST);
		}
		// The added 10 ms let the success rate count even if the time is near zero.
		double success = engine.successRate(now);
		return Duration.ofNanos((long) ((time.toNanos() + 1e7) / (success * success)));
	}

	private static long unsharedTokens(Generation generation) {
		long shared = generation.sharedParts().stream().mapToLong(PromptPart::tokens).sum();
		return Math.max(0, generation.promptTokens() - shared);
	}

}
