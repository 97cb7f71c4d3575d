package io.wagtailmux.decision;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.wagtailmux.decision.choice.ChoicePolicy;
import io.wagtailmux.decision.queue.QueuePolicy;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.Labels;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.OrganisationId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.RequestId;
import io.wagtailmux.model.Selector;
import io.wagtailmux.model.StageName;
import io.wagtailmux.model.StageProtocol;
import io.wagtailmux.model.VersionId;

import static org.assertj.core.api.Assertions.assertThat;

class PoolDispatcherTests {

	private static final Pool POOL = new Pool(new PoolId("pool"), StageProtocol.SERVICE, true, new Contract(1, 4, 1),
			Duration.ofMillis(100), 4);

	private int number;

	@ParameterizedTest
	@EnumSource(ChoicePolicy.class)
	void callsInFlightNeverExceedTheShare(ChoicePolicy choice) {
		PoolDispatcher dispatcher = dispatcher(new DispatchPolicy(choice, QueuePolicy.FAIR, false));
		dispatcher.updateEndpoints(List.of(view("a", "v1", 1), view("b", "v1", 2), view("c", "v1", 0)));
		List<Assignment> placed = new ArrayList<>();
		for (int count = 0; count < 6; count++) {
			dispatcher.submit(ticket("", Set.of(), 5000), Duration.ZERO);
			placed.addAll(dispatcher.assign(Duration.ZERO));
		}
		assertThat(placed).extracting((assignment) -> assignment.endpoint().id().value())
			.containsExactlyInAnyOrder("a", "b", "b");
		assertThat(dispatcher.waiting()).isEqualTo(3);
		dispatcher.recordOutcome(report("a", CallOutcome.ANSWERED), Duration.ZERO);
		assertThat(dispatcher.assign(Duration.ZERO)).extracting((assignment) -> assignment.endpoint().id().value())
			.containsExactly("a");
	}

	@Test
	void anEndpointThatIsOutOfServiceGetsNoNewCalls() {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.STANDARD);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 4), view("b", "v1", 4)));
		dispatcher.updateEndpoints(List.of(view("b", "v1", 4)));
		for (int count = 0; count < 4; count++) {
			dispatcher.submit(ticket("", Set.of(), 5000), Duration.ZERO);
		}
		assertThat(dispatcher.assign(Duration.ZERO))
			.allMatch((assignment) -> assignment.endpoint().id().value().equals("b"));
	}

	@Test
	void aSelectorLimitsRequestsToMatchingEndpoints() {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.STANDARD);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 4), view("b", "v2", 4)));
		dispatcher.submit(ticket("version=v2", Set.of(), 5000), Duration.ZERO);
		assertThat(dispatcher.assign(Duration.ZERO)).extracting((assignment) -> assignment.endpoint().id().value())
			.containsExactly("b");
		assertThat(dispatcher.submit(ticket("version=v3", Set.of(), 5000), Duration.ZERO)).get()
			.extracting(Refusal::reason)
			.isEqualTo(RefusalReason.NO_ELIGIBLE_ENDPOINT);
	}

	@Test
	void aRetryWaitsForAnotherEndpointInsteadOfUsingTheFailedOne() {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.STANDARD);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 1), view("b", "v1", 1)));
		Set<EndpointId> failed = Set.of(new EndpointId("a"));
		dispatcher.submit(ticket("", failed, 5000), Duration.ZERO);
		dispatcher.submit(ticket("", failed, 5000), Duration.ZERO);
		assertThat(dispatcher.assign(Duration.ZERO)).extracting((assignment) -> assignment.endpoint().id().value())
			.containsExactly("b");
		assertThat(dispatcher.waiting()).isEqualTo(1);
	}

	@Test
	void aTicketThatCannotMeetItsDeadlineIsRefusedAtOnceWithARetryTime() {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.STANDARD);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 1)));
		Optional<Refusal> refusal = dispatcher.submit(ticket("", Set.of(), 99), Duration.ZERO);
		assertThat(refusal).get().extracting(Refusal::reason).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
		assertThat(refusal.get().retryAfter()).isPositive();
		assertThat(dispatcher.waiting()).isZero();
	}

	@ParameterizedTest
	@EnumSource(value = CallOutcome.class, names = { "TIMED_OUT", "BROKEN", "ABANDONED" })
	void aCallThatMayStillRunCountsAgainstTheShare(CallOutcome outcome) {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.BASELINE);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 1)));
		dispatcher.submit(ticket("", Set.of(), 9000), Duration.ZERO);
		dispatcher.submit(ticket("", Set.of(), 9000), Duration.ZERO);
		assertThat(dispatcher.assign(Duration.ZERO)).hasSize(1);
		dispatcher.recordOutcome(report("a", outcome), Duration.ofSeconds(1));
		assertThat(dispatcher.assign(Duration.ofSeconds(5))).isEmpty();
		assertThat(dispatcher.assign(Duration.ofSeconds(6))).hasSize(1);
	}

	@Test
	void aPoolWithoutGrantedSharesIsNotTreatedAsFull() {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.STANDARD);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 0), view("b", "v1", 0)));
		assertThat(dispatcher.submit(ticket("", Set.of(), 350), Duration.ZERO)).isEmpty();
		assertThat(dispatcher.submit(ticket("", Set.of(), 350), Duration.ZERO)).isEmpty();
		assertThat(dispatcher.submit(ticket("", Set.of(), 350), Duration.ZERO)).isEmpty();
		assertThat(dispatcher.expectedWait(ticket("", Set.of(), 350), Duration.ZERO)).isEqualTo(Duration.ofMillis(100));
	}

	@Test
	void aPoolThatWasTooSlowForEveryDeadlineGetsCallsAgain() {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.STANDARD);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 1)));
		dispatcher.submit(ticket("", Set.of(), 9000), Duration.ZERO);
		dispatcher.assign(Duration.ZERO);
		Duration slow = Duration.ofSeconds(4);
		dispatcher.recordOutcome(new CallReport(new EndpointId("a"), CallOutcome.ANSWERED, slow, OptionalInt.empty()),
				slow);
		assertThat(dispatcher.submit(ticket("", Set.of(), 5000), slow)).isPresent();
		Duration later = slow.plusSeconds(5);
		assertThat(dispatcher.submit(ticket("", Set.of(), 10_000), later)).isEmpty();
	}

	@Test
	void aTicketBeyondTheQueueLimitIsRefused() {
		PoolDispatcher dispatcher = dispatcher(DispatchPolicy.BASELINE);
		dispatcher.updateEndpoints(List.of(view("a", "v1", 0)));
		for (int count = 0; count < POOL.queueLimit(); count++) {
			assertThat(dispatcher.submit(ticket("", Set.of(), 5000), Duration.ZERO)).isEmpty();
		}
		assertThat(dispatcher.submit(ticket("", Set.of(), 5000), Duration.ZERO)).get()
			.extracting(Refusal::reason)
			.isEqualTo(RefusalReason.QUEUE_FULL);
	}

	private static PoolDispatcher dispatcher(DispatchPolicy policy) {
		return new PoolDispatcher(POOL, policy, new SplittableRandom(1));
	}

	private static EndpointView view(String id, String version, int share) {
		Endpoint endpoint = new Endpoint(new EndpointId(id), POOL.id(), new AvailabilityZoneId("zone"),
				new VersionId(version), URI.create("http://127.0.0.1:1"), Labels.NONE, false);
		return new EndpointView(endpoint, Optional.of(new BootId("boot")), share, Duration.ofSeconds(5), Duration.ZERO,
				"test");
	}

	private static CallReport report(String id, CallOutcome outcome) {
		return new CallReport(new EndpointId(id), outcome, Duration.ofMillis(100), OptionalInt.empty());
	}

	private Ticket ticket(String selector, Set<EndpointId> avoided, int deadlineMilliseconds) {
		this.number++;
		Organisation owner = new Organisation(new OrganisationId("organisation"), "0".repeat(64), 1);
		return new Ticket(new CallId(new RequestId("r" + this.number), new StageName("s"), 1), owner,
				Selector.of(selector), avoided, Duration.ofMillis(deadlineMilliseconds), Duration.ZERO);
	}

}
