package io.wagtailmux.decision.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.Generation;
import io.wagtailmux.model.serving.PromptPart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

class PlacementTests {

	private static final Duration NOW = Duration.ofSeconds(5);

	private static final AvailabilityZoneId NEAR = new AvailabilityZoneId("near");

	private static final AvailabilityZoneId FAR = new AvailabilityZoneId("far");

	private final List<EndpointLoad> endpoints = new ArrayList<>();

	private final PlainPlacement plain = new PlainPlacement(NEAR, new SplittableRandom(1));

	private final EnginePlacement engines = new EnginePlacement();

	@BeforeEach
	void create() {
		for (int index = 0; index < 4; index++) {
			this.endpoints.add(new EndpointLoad(new EndpointId("endpoint-" + index), (index < 2) ? NEAR : FAR, 4,
					Duration.ofMillis(20), 100_000));
		}
	}

	@Test
	void plainRequestsGoToTheNearestOfEqualEndpoints() {
		for (int index = 0; index < 50; index++) {
			assertThat(choosePlain(Set.of()).zone()).isEqualTo(NEAR);
		}
	}

	@Test
	void plainRequestsAvoidFullBrokenAndFailingEndpoints() {
		EndpointLoad full = this.endpoints.get(0);
		for (int index = 0; index < 8; index++) {
			full.onCallStarted(0);
		}
		assertThat(choosePlain(Set.of())).isEqualTo(this.endpoints.get(1));
		this.endpoints.get(1).recordFailure(NOW);
		assertThat(choosePlain(Set.of()).zone()).isEqualTo(FAR);
		for (int index = 0; index < 6; index++) {
			this.endpoints.get(2).recordAnswer(index % 2 == 0, Duration.ofMillis(20), NOW);
		}
		assertThat(choosePlain(Set.of())).isEqualTo(this.endpoints.get(3));
	}

	/** Load: many subjects, engines of which some need 2.4 times as long as others. */
	@Test
	void subjectsAreDividedAmongEnginesInProportionToTheirSpeed() {
		Map<EndpointId, Integer> subjects = new HashMap<>();
		this.endpoints.forEach((engine) -> engine.speed().onHeard(isSlow(engine) ? 1.7 : 0.7, NOW));
		for (int subject = 0; subject < 4000; subject++) {
			Generation generation = new Generation(1000, 10,
					List.of(new PromptPart("subject-" + subject, 900), new PromptPart("own-" + subject, 100)));
			EndpointLoad chosen = this.engines
				.choose(this.endpoints, Set.of(), generation, InputBytes.NONE, Optional.empty(), NOW)
				.orElseThrow()
				.endpoint();
			subjects.merge(chosen.id(), 1, Integer::sum);
		}
		double slow = subjects.get(this.endpoints.get(2).id());
		double fast = subjects.get(this.endpoints.get(0).id());
		assertThat(fast / slow).isCloseTo(1.7 / 0.7, withinPercentage(10));
	}

	@Test
	void anEngineThatANeighbourSlowsNowGetsNoNewRequests() {
		this.endpoints.forEach((engine) -> engine.speed().onStated(1, NOW));
		Generation generation = new Generation(6000, 10, List.of());
		EndpointLoad first = this.engines
			.choose(this.endpoints, Set.of(), generation, InputBytes.NONE, Optional.empty(), NOW)
			.orElseThrow()
			.endpoint();
		first.speed().onStated(2.5, NOW);
		assertThat(this.engines.choose(this.endpoints, Set.of(), generation, InputBytes.NONE, Optional.empty(), NOW)
			.orElseThrow()
			.endpoint()).isNotEqualTo(first);
	}

	private boolean isSlow(EndpointLoad engine) {
		return engine == this.endpoints.get(2);
	}

	@Test
	void anEndpointWithoutRecentAnswersIsTriedAgain() {
		for (int index = 0; index < 20; index++) {
			this.endpoints.get(2).recordAnswer(true, Duration.ofMillis(3), NOW);
		}
		assertThat(choosePlain(Set.of()).zone()).isEqualTo(NEAR);
	}

	@Test
	void requestsOfOtherInstancesCountUntilTheReportExpires() {
		this.endpoints.get(0).updateReportedLoad(4, 6, NOW);
		assertThat(this.endpoints.get(0).outstandingRequests(NOW)).isEqualTo(10);
		assertThat(this.endpoints.get(0).outstandingRequests(NOW.plusSeconds(2))).isZero();
	}

	@Test
	void failedEndpointsAreTriedAgainAfterTheirSuspension() {
		EndpointLoad broken = this.endpoints.get(0);
		broken.recordFailure(NOW);
		assertThat(broken.suspended(NOW)).isTrue();
		assertThat(broken.suspended(NOW.plusSeconds(3))).isFalse();
		assertThat(broken.successRate(NOW.plusSeconds(30))).isGreaterThan(0.95);
	}

	@Test
	void noEndpointIsTriedTwice() {
		Set<EndpointId> tried = new HashSet<>();
		this.endpoints.forEach((endpoint) -> tried.add(endpoint.id()));
		assertThat(this.plain.choose(this.endpoints, tried, NOW)).isEmpty();
		assertThat(this.engines.choose(this.endpoints, tried, generation("a"), InputBytes.NONE, Optional.empty(), NOW))
			.isEmpty();
	}

	@Test
	void requestsThatShareAPartGoToTheSameEngineOnAllInstances() {
		Set<EndpointId> chosen = new HashSet<>();
		for (int instance = 0; instance < 6; instance++) {
			chosen.add(chooseEngine("shared", InputBytes.NONE));
		}
		assertThat(chosen).hasSize(1);
	}

	@Test
	void differentPartsAreSpreadOverEngines() {
		Set<EndpointId> chosen = new HashSet<>();
		for (int part = 0; part < 60; part++) {
			chosen.add(chooseEngine("part-" + part, InputBytes.NONE));
		}
		assertThat(chosen).hasSize(4);
	}

	@Test
	void anOverloadedEngineIsNotPreferred() {
		EndpointId preferred = chooseEngine("shared", InputBytes.NONE);
		EndpointLoad load = this.endpoints.stream()
			.filter((one) -> one.id().equals(preferred))
			.findFirst()
			.orElseThrow();
		for (int index = 0; index < 6; index++) {
			load.onCallStarted(9000);
		}
		assertThat(chooseEngine("shared", InputBytes.NONE)).isNotEqualTo(preferred);
	}

	@Test
	void enginesAreChosenInTheZoneOfLargeResults() {
		InputBytes inputs = new InputBytes(Map.of(FAR, 4_000_000L));
		for (int part = 0; part < 30; part++) {
			EndpointId chosen = chooseEngine("part-" + part, inputs, Optional.of(FAR));
			assertThat(this.endpoints.subList(2, 4)).extracting(EndpointLoad::id).contains(chosen);
		}
	}

	/**
	 * Requests that share a prompt part go to the same engine although some have no stage
	 * results and others have them in another zone. Otherwise each engine would have to
	 * read the part again.
	 */
	@Test
	void requestsThatShareAPartGoToTheSameEngineWhereverTheirResultsAre() {
		InputBytes near = new InputBytes(Map.of(NEAR, 500_000L));
		InputBytes far = new InputBytes(Map.of(FAR, 3_000_000L));
		for (int part = 0; part < 30; part++) {
			String shared = "part-" + part;
			EndpointId without = chooseEngine(shared, InputBytes.NONE, Optional.of(FAR));
			assertThat(chooseEngine(shared, far, Optional.of(FAR))).isEqualTo(without);
			assertThat(chooseEngine(shared, near, Optional.of(FAR))).isEqualTo(without);
		}
	}

	@Test
	void cachedPartsCountOnlyIfAllBeforeThemAreCached() {
		PromptCacheView cache = new PromptCacheView(1000);
		PromptPart first = new PromptPart("first", 600);
		PromptPart second = new PromptPart("second", 300);
		cache.add(List.of(first, second));
		assertThat(cache.cachedTokens(List.of(first, second))).isEqualTo(900);
		cache.add(List.of(new PromptPart("third", 500)));
		assertThat(cache.cachedTokens(List.of(first, second))).isZero();
	}

	@Test
	void homeZonesFollowTheirWeightsAndAreStable() {
		Map<AvailabilityZoneId, Integer> weights = Map.of(NEAR, 3, FAR, 1, new AvailabilityZoneId("empty"), 0);
		Map<AvailabilityZoneId, Integer> counts = new HashMap<>();
		for (int part = 0; part < 2000; part++) {
			AvailabilityZoneId home = HomeZone.choose(generation("part-" + part), weights).orElseThrow();
			assertThat(HomeZone.choose(generation("part-" + part), weights)).contains(home);
			counts.merge(home, 1, Integer::sum);
		}
		assertThat(counts.get(NEAR)).isBetween(1400, 1600);
		assertThat(counts).containsOnlyKeys(NEAR, FAR);
	}

	private EndpointLoad choosePlain(Set<EndpointId> tried) {
		return this.plain.choose(this.endpoints, tried, NOW).orElseThrow().endpoint();
	}

	private EndpointId chooseEngine(String part, InputBytes inputs) {
		return chooseEngine(part, inputs, Optional.empty());
	}

	private EndpointId chooseEngine(String part, InputBytes inputs, Optional<AvailabilityZoneId> home) {
		return this.engines.choose(this.endpoints, Set.of(), generation(part), inputs, home, NOW)
			.orElseThrow()
			.endpoint()
			.id();
	}

	private static Generation generation(String sharedPart) {
		return new Generation(9000, 50,
				List.of(new PromptPart("all", 2500), new PromptPart(sharedPart, 3500), new PromptPart("own", 3000)));
	}

}
