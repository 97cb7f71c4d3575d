package io.wagtailmux.decision;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import io.wagtailmux.decision.limit.EndpointShare;
import io.wagtailmux.decision.limit.ShareLedger;
import io.wagtailmux.decision.limit.ShareReport;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
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

/**
 * Example of a program that uses the decisions directly, with one cold endpoint, one
 * instance that is also its limiter, and one request. The test passes in facts and times
 * and reads the decisions; no other component runs.
 */
class DecisionExampleTests {

	@Test
	void aRequestIsAssignedToAColdEndpoint() {
		Pool pool = new Pool(new PoolId("desk"), StageProtocol.SERVICE, true, new Contract(1, 8, 2),
				Duration.ofMillis(50), 64);
		Endpoint endpoint = new Endpoint(new EndpointId("desk-1"), pool.id(), new AvailabilityZoneId("perth-a"),
				new VersionId("v1"), URI.create("http://127.0.0.1:9101"), Labels.NONE, false);
		Duration now = Duration.ofSeconds(1);

		ShareLedger ledger = new ShareLedger(endpoint.id(), pool.contract(), Duration.ofSeconds(5), Duration.ZERO);
		ledger.onBoot(new BootId("first-run"));
		EndpointShare share = new EndpointShare();
		ShareReport report = new ShareReport(new InstanceId("entry-1"), endpoint.id(), "", 0, 0, 4, 0, 0);
		share.updateGrant(ledger.grant(report, now).orElseThrow(), now);
		assertThat(share.share(0, now)).as("share at a cold endpoint").isEqualTo(1);

		PoolDispatcher dispatcher = new PoolDispatcher(pool, DispatchPolicy.STANDARD, new SplittableRandom(7));
		dispatcher.updateEndpoints(List.of(new EndpointView(endpoint, share.boot(), share.share(0, now),
				Duration.ofSeconds(5), Duration.ZERO, "cold")));
		Organisation organisation = new Organisation(new OrganisationId("perth-listeners"), "0".repeat(64), 1);
		Ticket ticket = new Ticket(new CallId(new RequestId("request-1"), new StageName("renew"), 1), organisation,
				Selector.EVERYTHING, Set.of(), now.plusSeconds(5), Duration.ZERO);
		Optional<Refusal> refusal = dispatcher.submit(ticket, now);
		Assignment assignment = dispatcher.assign(now).get(0);
		assertThat(refusal).isEmpty();
		assertThat(assignment.endpoint()).isEqualTo(endpoint);

		Duration later = now.plusMillis(60);
		dispatcher.recordOutcome(
				new CallReport(endpoint.id(), CallOutcome.ANSWERED, Duration.ofMillis(60), OptionalInt.of(1)), later);
		share.onCallEnded(CallOutcome.ANSWERED, assignment.inFlight(), share.share(0, later), later);
		assertThat(share.takeGoodAnswers()).as("good answers to report to the limiter").isEqualTo(1);
	}

}
