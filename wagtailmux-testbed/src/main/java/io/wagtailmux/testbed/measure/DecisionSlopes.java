package io.wagtailmux.testbed.measure;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;

import io.wagtailmux.decision.Assignment;
import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.decision.CallReport;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.decision.EndpointView;
import io.wagtailmux.decision.PoolDispatcher;
import io.wagtailmux.decision.Ticket;
import io.wagtailmux.decision.limit.ShareLedger;
import io.wagtailmux.decision.limit.ShareReport;
import io.wagtailmux.decision.queue.QueuePolicy;
import io.wagtailmux.decision.queue.WaitingQueue;
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
import io.wagtailmux.store.configuration.ConfigurationFormat;

/**
 * Measures how the time of single decisions grows with the size of their input, on the
 * calling thread. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
final class DecisionSlopes {

	private static final Contract CONTRACT = new Contract(1, 8, 2);

	private static final Pool POOL = new Pool(new PoolId("pool"), StageProtocol.SERVICE, true, CONTRACT,
			Duration.ofMillis(100), 4096);

	private static final int WARM_UP_ROUNDS = 3;

	private int sequenceNumber;

	/**
	 * Measures the choice of an endpoint.
	 * @return microseconds by endpoints of the pool
	 */
	Slope routing() {
		List<SlopePoint> points = new ArrayList<>();
		for (int endpoints : new int[] { 4, 16, 64, 128, 256 }) {
			PoolDispatcher dispatcher = new PoolDispatcher(POOL, DispatchPolicy.STANDARD, new SplittableRandom(1));
			dispatcher.updateEndpoints(endpointViews(endpoints));
			points.add(new SlopePoint(endpoints, bestMicroseconds(2_000, () -> route(dispatcher))));
		}
		return Slope.fit("routing decision", "endpoints of the pool", "microseconds", points);
	}

	/**
	 * Measures adding a request to the waiting queue and removing one.
	 * @return microseconds by organisations that wait
	 */
	Slope queueing() {
		List<SlopePoint> points = new ArrayList<>();
		for (int organisations : new int[] { 5, 20, 80, 290 }) {
			WaitingQueue queue = QueuePolicy.FAIR.create();
			for (int count = 0; count < organisations; count++) {
				queue.add(ticket("organisation-" + count), Duration.ofMillis(50));
			}
			points.add(new SlopePoint(organisations, bestMicroseconds(2_000, () -> {
				queue.add(ticket("organisation-" + this.sequenceNumber % organisations), Duration.ofMillis(50));
				queue.poll((ticket) -> true);
			})));
		}
		return Slope.fit("queue, one in and one out", "organisations waiting", "microseconds", points);
	}

	/**
	 * Measures the grant of a share of an endpoint.
	 * @return microseconds by instances that share the endpoint
	 */
	Slope granting() {
		List<SlopePoint> points = new ArrayList<>();
		for (int instances : new int[] { 3, 9, 27, 81 }) {
			ShareLedger ledger = new ShareLedger(new EndpointId("endpoint"), CONTRACT, Duration.ofSeconds(5),
					Duration.ZERO);
			ledger.onBoot(new BootId("boot"));
			points.add(new SlopePoint(instances, bestMicroseconds(2_000, () -> {
				this.sequenceNumber++;
				ledger.grant(new ShareReport(new InstanceId("instance-" + this.sequenceNumber % instances),
						new EndpointId("endpoint"), "boot", 0, 0, 2, 0, 0), Duration.ofSeconds(1));
			})));
		}
		return Slope.fit("limiter, one grant", "instances that share the endpoint", "microseconds", points);
	}

	/**
	 * Measures reading and checking a configuration.
	 * @return milliseconds by endpoints
	 */
	Slope configuration() {
		List<SlopePoint> points = new ArrayList<>();
		for (int endpoints : new int[] { 20, 100, 300, 600 }) {
			String text = configurationText(endpoints);
			points.add(new SlopePoint(endpoints, bestMicroseconds(10, () -> ConfigurationFormat.read(text)) / 1000));
		}
		return Slope.fit("configuration check", "endpoints", "milliseconds", points);
	}

	private void route(PoolDispatcher dispatcher) {
		dispatcher.submit(ticket("organisation"), Duration.ZERO);
		for (Assignment assignment : dispatcher.assign(Duration.ZERO)) {
			dispatcher.recordOutcome(new CallReport(assignment.endpoint().id(), CallOutcome.ANSWERED,
					Duration.ofMillis(100), OptionalInt.empty()), Duration.ZERO);
		}
	}

	// Returns the mean time of a repeat in the fastest round, warm-up rounds included.
	private static double bestMicroseconds(int repeats, Runnable action) {
		long best = Long.MAX_VALUE;
		for (int round = 0; round < WARM_UP_ROUNDS + 3; round++) {
			long start = System.nanoTime();
			for (int repeat = 0; repeat < repeats; repeat++) {
				action.run();
			}
			best = Math.min(best, System.nanoTime() - start);
		}
		return best / 1000.0 / repeats;
	}

	private static List<EndpointView> endpointViews(int count) {
		List<EndpointView> views = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			Endpoint endpoint = new Endpoint(new EndpointId("endpoint-" + index), POOL.id(),
					new AvailabilityZoneId("zone"), new VersionId("v1"), URI.create("http://127.0.0.1:1"), Labels.NONE,
					false);
			views.add(new EndpointView(endpoint, Optional.of(new BootId("boot")), 4, Duration.ofSeconds(1),
					Duration.ZERO, "measured"));
		}
		return views;
	}

	private Ticket ticket(String organisation) {
		this.sequenceNumber++;
		Organisation owner = new Organisation(new OrganisationId(organisation), "0".repeat(64), 1);
		return new Ticket(new CallId(new RequestId("r" + this.sequenceNumber), new StageName("s"), 1), owner,
				Selector.EVERYTHING, Set.of(), Duration.ofSeconds(5), Duration.ZERO);
	}

	private static String configurationText(int endpoints) {
		StringBuilder text = new StringBuilder("[availability-zone a]\nregion = r\n");
		for (int pool = 0; pool < 28; pool++) {
			text.append("[pool p").append(pool).append("]\nprotocol = service\nidempotent = true\nwarm-limit = 8\n");
		}
		for (int index = 0; index < endpoints; index++) {
			text.append("[endpoint e").append(index).append("]\npool = p").append(index % 28);
			text.append("\navailability-zone = a\nversion = v1\naddress = http://127.0.0.1:1\n");
		}
		for (int pipeline = 0; pipeline < 27; pipeline++) {
			text.append("[pipeline q").append(pipeline).append("]\nstages = x, y, z\n");
			for (String stage : List.of("x", "y", "z")) {
				text.append("[stage q").append(pipeline).append("/").append(stage).append("]\npool = p0\n");
			}
		}
		for (int organisation = 0; organisation < 290; organisation++) {
			text.append("[organisation o").append(organisation).append("]\ntoken-sha256 = ");
			text.append(String.format("%064x", organisation)).append('\n');
		}
		return text.toString();
	}

}
