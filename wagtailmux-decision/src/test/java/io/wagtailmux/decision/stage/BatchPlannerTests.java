package io.wagtailmux.decision.stage;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.BatchCapacity;

import static org.assertj.core.api.Assertions.assertThat;

class BatchPlannerTests {

	private static final Duration NOW = Duration.ofSeconds(10);

	private static final AvailabilityZoneId NORTH = new AvailabilityZoneId("north");

	private static final AvailabilityZoneId SOUTH = new AvailabilityZoneId("south");

	private static final BatchCapacity CAPACITY = new BatchCapacity(1, 2, 4, Duration.ofMillis(200),
			Duration.ofMillis(10), 1000, Duration.ofSeconds(4));

	private final EndpointId northern = new EndpointId("northern");

	private final EndpointId southern = new EndpointId("southern");

	private BatchPlanner planner;

	private int number;

	@BeforeEach
	void create() {
		this.planner = new BatchPlanner(CAPACITY);
		this.planner.updateEndpoints(Map.of(this.northern, NORTH, this.southern, SOUTH));
	}

	@Test
	void aFreeEndpointGetsTheWaitingPiecesAtOnce() {
		this.planner.add(ticket(0, 2000, Optional.empty()));
		assertThat(this.planner.next(NOW)).hasValueSatisfying((batch) -> assertThat(batch.pieces()).hasSize(1));
	}

	@Test
	void piecesWaitWhileAllEndpointsAreBusy() {
		PieceBatch first = addAndSend(1);
		addAndSend(1);
		for (int index = 0; index < 6; index++) {
			this.planner.add(ticket(0, 2000, Optional.empty()));
		}
		assertThat(this.planner.next(NOW)).isEmpty();
		this.planner.onBatchEnded(first, BatchOutcome.ANSWERED, Duration.ofMillis(210), NOW);
		assertThat(this.planner.next(NOW)).hasValueSatisfying((batch) -> assertThat(batch.pieces()).hasSize(4));
	}

	@ParameterizedTest
	@CsvSource({ "0, 500, 0, 900, first", "0, 900, 0, 500, second", "2, 500, 0, 600, second",
			"0, 900, 0, -100, first" })
	void piecesThatCanBeOnTimeGoFirstThenThoseOfLeastSlackAndHighestPriority(int firstPriority, long firstSlack,
			int secondPriority, long secondSlack, String expected) {
		BatchPlanner single = new BatchPlanner(
				new BatchCapacity(1, 0, 1, Duration.ofMillis(200), Duration.ofMillis(10), 1000, Duration.ofSeconds(4)));
		single.updateEndpoints(Map.of(this.northern, NORTH));
		PieceTicket first = ticket(firstPriority, firstSlack, Optional.empty());
		PieceTicket second = ticket(secondPriority, secondSlack, Optional.empty());
		single.add(first);
		single.add(second);
		assertThat(single.next(NOW).orElseThrow().pieces()).containsExactly(expected.equals("first") ? first : second);
	}

	@ParameterizedTest
	@CsvSource({ "0, 100, 0", "0, 900, 8", "2, 650, 8", "2, 500, 0", "0, 2000, 16", "0, -1, 20" })
	void onlyPiecesThatGoFirstCountForAWait(int priority, long slackMillis, int ahead) {
		addAndSend(1);
		addAndSend(1);
		Duration before = this.planner.expectedWait(new PieceUrgency(0, Duration.ZERO), NOW);
		for (int index = 0; index < 8; index++) {
			this.planner.add(ticket(0, 850, Optional.empty()));
			this.planner.add(ticket(0, 1500, Optional.of(NORTH)));
		}
		for (int index = 0; index < 4; index++) {
			this.planner.add(ticket(0, -10, Optional.empty()));
		}
		Duration wait = this.planner.expectedWait(new PieceUrgency(priority, Duration.ofMillis(slackMillis)), NOW);
		double calls = ahead / 4.0 / 2;
		long callNanos = CAPACITY.expectedTime(4).toNanos();
		assertThat(wait.minus(before)).isEqualTo(Duration.ofNanos((long) (callNanos * calls)));
	}

	@Test
	void anEndpointIsShortOfRoomOnceAFullCallWouldNotFit() {
		this.planner.updateEndpoints(Map.of(this.northern, NORTH));
		assertThat(this.planner.isShortOfRoom(this.northern)).isFalse();
		for (int call = 1; call <= 7; call++) {
			assertThat(this.planner.isShortOfRoom(this.northern)).as("before call %d", call).isFalse();
			this.planner.add(ticketOfSize(100));
			PieceBatch batch = this.planner.next(NOW).orElseThrow();
			this.planner.onBatchEnded(batch, BatchOutcome.ANSWERED, Duration.ofMillis(210), NOW);
		}
		assertThat(this.planner.isShortOfRoom(this.northern)).isTrue();
		this.planner.onResultsFreed(this.northern, 100);
		assertThat(this.planner.isShortOfRoom(this.northern)).isFalse();
	}

	@Test
	void memoryForResultsIsNeverExceeded() {
		for (int index = 0; index < 3; index++) {
			this.planner.add(ticketOfSize(400));
		}
		PieceBatch first = this.planner.next(NOW).orElseThrow();
		assertThat(first.pieces()).hasSize(2);
		this.planner.onBatchEnded(first, BatchOutcome.ANSWERED, Duration.ofMillis(220), NOW);
		this.planner.add(ticketOfSize(400));
		this.planner.add(ticketOfSize(400));
		this.planner.next(NOW);
		assertThat(this.planner.next(NOW)).isEmpty();
		this.planner.onResultsFreed(first.endpoint(), 400);
		assertThat(this.planner.next(NOW)).isPresent();
	}

	@Test
	void piecesGoToTheirHomeZone() {
		this.planner.add(ticket(0, 2000, Optional.of(SOUTH)));
		assertThat(this.planner.next(NOW).orElseThrow().endpoint()).isEqualTo(this.southern);
	}

	@Test
	void piecesWaitForTheirHomeZoneWhileTheyCanBeOnTime() {
		PieceBatch busy = homeBatch(SOUTH);
		this.planner.add(ticket(0, 2000, Optional.of(SOUTH)));
		assertThat(this.planner.next(NOW)).isEmpty();
		this.planner.onBatchEnded(busy, BatchOutcome.ANSWERED, Duration.ofMillis(210), NOW);
		assertThat(this.planner.next(NOW).orElseThrow().endpoint()).isEqualTo(this.southern);
	}

	@ParameterizedTest
	@ValueSource(longs = { 50, -300 })
	void piecesLeaveTheirHomeZoneIfItIsNotFreeInTime(long slackMillis) {
		homeBatch(SOUTH);
		this.planner.add(ticket(0, slackMillis, Optional.of(SOUTH)));
		assertThat(this.planner.next(NOW).orElseThrow().endpoint()).isEqualTo(this.northern);
	}

	@Test
	void piecesWhoseHomeZoneHasNoEndpointGoToAnyZone() {
		this.planner.add(ticket(0, 2000, Optional.of(new AvailabilityZoneId("gone"))));
		assertThat(this.planner.next(NOW)).isPresent();
	}

	@Test
	void callsAreFilledWhateverTheHomeZoneWhileTheQueueIsLong() {
		for (int index = 0; index < 12; index++) {
			this.planner.add(ticket(0, 2000, Optional.of(SOUTH)));
		}
		this.planner.add(ticket(0, 2000, Optional.of(NORTH)));
		List<PieceBatch> batches = List.of(this.planner.next(NOW).orElseThrow(), this.planner.next(NOW).orElseThrow());
		assertThat(batches).allSatisfy((batch) -> assertThat(batch.pieces()).hasSize(4));
	}

	@Test
	void piecesThatCannotMeetTheirDeadlineAreDropped() {
		PieceTicket unreachable = new PieceTicket(id(), 0, NOW, NOW.plusMillis(150), 1, Optional.empty(), false);
		this.planner.add(unreachable);
		this.planner.add(ticket(0, 2000, Optional.empty()));
		assertThat(this.planner.dropUnreachable(NOW)).containsExactly(unreachable);
		assertThat(this.planner.waiting()).isEqualTo(1);
	}

	@Test
	void endpointsArePausedAfterABrokenCall() {
		PieceBatch batch = homeBatch(SOUTH);
		this.planner.onBatchEnded(batch, BatchOutcome.BROKEN, Duration.ofMillis(5), NOW);
		this.planner.add(ticket(0, 100, Optional.of(SOUTH)));
		assertThat(this.planner.next(NOW).orElseThrow().endpoint()).isEqualTo(this.northern);
	}

	@Test
	void anEndpointThatStaysAwayGetsNoCallsUntilItReturns() {
		Duration end = NOW.plusSeconds(1);
		this.planner.stayAway(this.southern, end);
		this.planner.add(ticket(0, 100, Optional.of(SOUTH)));
		assertThat(this.planner.next(NOW).orElseThrow().endpoint()).isEqualTo(this.northern);
		this.planner.add(ticket(0, 2000, Optional.empty()));
		assertThat(this.planner.next(end.minusNanos(1))).isEmpty();
		assertThat(this.planner.next(end).orElseThrow().endpoint()).isEqualTo(this.southern);
	}

	/**
	 * Load pattern: all endpoints of a stage refuse and name times. A piece that can wait
	 * for the first to return stays, one that cannot is dropped at once.
	 */
	@ParameterizedTest
	@CsvSource({ "900, 3000, 900, false", "3000, 900, 900, false", "2500, 3000, 2500, true" })
	void piecesThatCannotWaitForTheFirstReturnAreDroppedAtOnce(long northMillis, long southMillis, long waitMillis,
			boolean dropped) {
		PieceTicket ticket = new PieceTicket(new PieceId(new AttemptId("a"), 0, 0, 1), 0, NOW.plusMillis(2000),
				NOW.plusMillis(2500), 10, Optional.empty(), false);
		this.planner.add(ticket);
		this.planner.stayAway(this.northern, NOW.plusMillis(northMillis));
		this.planner.stayAway(this.southern, NOW.plusMillis(southMillis));
		assertThat(this.planner.expectedWait(NOW)).isEqualTo(Duration.ofMillis(waitMillis));
		assertThat(this.planner.dropUnreachable(NOW)).hasSize(dropped ? 1 : 0);
	}

	@Test
	void whatAnEndpointThatStaysAwayKeepsStaysAccountedFor() {
		this.planner.updateEndpoints(Map.of(this.northern, NORTH));
		this.planner.add(ticketOfSize(900));
		PieceBatch batch = this.planner.next(NOW).orElseThrow();
		this.planner.onBatchEnded(batch, BatchOutcome.ANSWERED, Duration.ofMillis(210), NOW);
		this.planner.stayAway(batch.endpoint(), NOW.plusMillis(100));
		this.planner.updateEndpoints(Map.of(this.northern, NORTH));
		this.planner.add(ticketOfSize(400));
		assertThat(this.planner.next(NOW.plusMillis(100))).isEmpty();
	}

	/**
	 * Load pattern: a request runs its stages again while its pieces still wait or are at
	 * an endpoint. Guards against pieces that take the place of others with their id.
	 */
	@Test
	void pieceThatIsSubmittedTwiceIsSentTwiceUnlessOneIsRemoved() {
		AttemptId attempt = new AttemptId("twice");
		List<PieceTicket> submitted = LongStream.rangeClosed(1, 3)
			.mapToObj((submission) -> new PieceTicket(new PieceId(attempt, 0, 0, submission), 0, NOW.plusMillis(900),
					NOW.plusSeconds(3), 1, Optional.empty(), false))
			.toList();
		submitted.forEach(this.planner::add);
		assertThat(this.planner.remove(submitted.get(0).id())).isTrue();
		assertThat(this.planner.remove(submitted.get(0).id())).isFalse();
		assertThat(this.planner.next(NOW).orElseThrow().pieces()).containsExactlyElementsOf(submitted.subList(1, 3));
		assertThat(this.planner.waiting()).isZero();
	}

	/** So that an end of the endpoint shows which request is to blame. */
	@Test
	void piecesOfARequestThatMayCrashEndpointsShareCallsWithNoOthers() {
		AttemptId suspect = new AttemptId("suspect");
		this.planner.add(ticket(0, 500, Optional.empty()));
		for (int piece = 0; piece < 2; piece++) {
			this.planner.add(new PieceTicket(new PieceId(suspect, 0, piece, 1), 0, NOW.plusMillis(900),
					NOW.plusSeconds(3), 1, Optional.empty(), true));
		}
		this.planner.add(ticket(0, 1500, Optional.empty()));
		assertThat(this.planner.next(NOW).orElseThrow().pieces()).hasSize(2).noneMatch(PieceTicket::isolated);
		assertThat(this.planner.next(NOW).orElseThrow().pieces()).hasSize(2).allMatch(PieceTicket::isolated);
	}

	/**
	 * Simulates a pool of four endpoints whose calls take 200 ms plus 8.1 ms per piece.
	 * The requests have six pieces each and arrive at 19 per second, with a burst at 2.5
	 * times that rate. Calls that carry the pieces of a single request overload the pool.
	 * @param piecesPerCall the maximum number of pieces per call; six is one call per
	 * request
	 * @param expectServed whether nearly all requests are expected to be served in time
	 */
	@ParameterizedTest
	@CsvSource({ "21, true", "6, false" })
	void aBurstIsServedByFullCallsButNotByOneCallPerRequest(int piecesPerCall, boolean expectServed) {
		BatchCapacity capacity = new BatchCapacity(1, 2, piecesPerCall, Duration.ofMillis(200),
				Duration.ofNanos(8_114_000), Long.MAX_VALUE / 2, Duration.ofSeconds(4));
		double served = replay(capacity, 19, Duration.ofMillis(1500));
		if (expectServed) {
			assertThat(served).isGreaterThan(0.95);
		}
		else {
			assertThat(served).isLessThan(0.7);
		}
	}

	private static double replay(BatchCapacity capacity, double requestsPerSecond, Duration timeToDeadline) {
		BatchPlanner planner = new BatchPlanner(capacity);
		Map<EndpointId, AvailabilityZoneId> endpoints = new HashMap<>();
		for (int index = 0; index < 4; index++) {
			endpoints.put(new EndpointId("endpoint-" + index), new AvailabilityZoneId("zone-" + index));
		}
		planner.updateEndpoints(endpoints);
		SplittableRandom random = new SplittableRandom(7);
		PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparing(Running::end));
		Set<AttemptId> missed = new HashSet<>();
		Duration now = Duration.ZERO;
		int requests = 0;
		while (now.compareTo(Duration.ofSeconds(20)) < 0) {
			boolean burst = now.toSeconds() >= 5 && now.toSeconds() < 11;
			double rate = requestsPerSecond * (burst ? 2.5 : 1);
			Duration next = now.plusNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9));
			while (!running.isEmpty() && running.peek().end().compareTo(next) < 0) {
				Running ended = running.poll();
				planner.onBatchEnded(ended.batch(), BatchOutcome.ANSWERED,
						capacity.expectedTime(ended.batch().pieces().size()), ended.end());
				step(planner, running, missed, capacity, ended.end());
			}
			now = next;
			AttemptId attempt = new AttemptId("attempt-" + requests++);
			for (int piece = 0; piece < 6; piece++) {
				planner.add(
						new PieceTicket(new PieceId(attempt, 0, piece, 1), 0, now.plus(timeToDeadline).minusMillis(400),
								now.plus(timeToDeadline), 60_000, Optional.empty(), false));
			}
			step(planner, running, missed, capacity, now);
		}
		return 1 - missed.size() / (double) requests;
	}

	private static void step(BatchPlanner planner, PriorityQueue<Running> running, Set<AttemptId> missed,
			BatchCapacity capacity, Duration now) {
		planner.dropUnreachable(now).forEach((ticket) -> missed.add(ticket.id().attempt()));
		Optional<PieceBatch> batch = planner.next(now);
		while (batch.isPresent()) {
			running.add(new Running(batch.get(), now.plus(capacity.expectedTime(batch.get().pieces().size()))));
			batch = planner.next(now);
		}
	}

	private PieceBatch addAndSend(int pieces) {
		for (int index = 0; index < pieces; index++) {
			this.planner.add(ticket(0, 2000, Optional.empty()));
		}
		return this.planner.next(NOW).orElseThrow();
	}

	private PieceBatch homeBatch(AvailabilityZoneId zone) {
		this.planner.add(ticket(0, 2000, Optional.of(zone)));
		return this.planner.next(NOW).orElseThrow();
	}

	private PieceTicket ticketOfSize(long bytes) {
		return new PieceTicket(id(), 0, NOW.plusSeconds(2), NOW.plusSeconds(3), bytes, Optional.of(NORTH), false);
	}

	private PieceTicket ticket(int priority, long slackMillis, Optional<AvailabilityZoneId> home) {
		return new PieceTicket(id(), priority, NOW.plusMillis(slackMillis), NOW.plusSeconds(3), 1, home, false);
	}

	private PieceId id() {
		return new PieceId(new AttemptId("attempt-" + this.number++), 0, 0, 1);
	}

	private record Running(PieceBatch batch, Duration end) {

	}

}
