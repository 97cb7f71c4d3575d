package io.wagtailmux.decision.stage;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.serving.BatchCapacity;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an owner of a stage pool that is busier the longer its queue is: its
 * endpoints then wait for it, and the queue grows further.
 */
class BatchPlannerCostTests {

	private static final int SHORT_QUEUE = 600;

	private static final int LONG_QUEUE = 6000;

	/** Of the time of an event, for a queue that is a ten times as long. */
	private static final double MAXIMUM_RATIO = 3;

	private static final int EVENTS = 300;

	private static final int ROUNDS = 5;

	private static final BatchCapacity CAPACITY = new BatchCapacity(1, 2, 44, Duration.ofMillis(200),
			Duration.ofMillis(3), 1_000_000_000L, Duration.ofSeconds(4));

	private static final List<AvailabilityZoneId> ZONES = List.of(new AvailabilityZoneId("north"),
			new AvailabilityZoneId("south"));

	private int number;

	@ParameterizedTest
	@EnumSource
	void theCostOfAnEventDoesNotGrowWithTheQueue(Event event) {
		double[] ratios = new double[ROUNDS];
		for (int round = 0; round < ROUNDS; round++) {
			double shortNanos = nanosPerEvent(event, SHORT_QUEUE);
			ratios[round] = nanosPerEvent(event, LONG_QUEUE) / shortNanos;
		}
		Arrays.sort(ratios);
		assertThat(ratios[ROUNDS / 2]).as("median of %s", Arrays.toString(ratios)).isLessThan(MAXIMUM_RATIO);
	}

	private double nanosPerEvent(Event event, int queue) {
		SplittableRandom random = new SplittableRandom(queue);
		BatchPlanner planner = new BatchPlanner(CAPACITY);
		Map<EndpointId, AvailabilityZoneId> endpoints = new HashMap<>();
		for (int index = 0; index < 10; index++) {
			endpoints.put(new EndpointId("endpoint-" + index), ZONES.get(index % ZONES.size()));
		}
		planner.updateEndpoints(endpoints);
		Duration now = Duration.ofSeconds(10);
		for (int index = 0; index < queue; index++) {
			planner.add(ticket(random, now));
		}
		Optional<PieceBatch> last = planner.next(now);
		for (Optional<PieceBatch> next = planner.next(now); next.isPresent(); next = planner.next(now)) {
			last = next;
		}
		long startedAt = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
		for (int index = 0; index < EVENTS; index++) {
			now = now.plusNanos(10_000);
			last = event.play(planner, last.orElseThrow(), ticket(random, now), now);
		}
		return (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startedAt) / (double) EVENTS;
	}

	private PieceTicket ticket(SplittableRandom random, Duration now) {
		this.number++;
		Duration slack = Duration.ofMillis(random.nextInt(-500, 2000));
		Optional<AvailabilityZoneId> home = random.nextBoolean() ? Optional.of(ZONES.get(random.nextInt(2)))
				: Optional.empty();
		return new PieceTicket(new PieceId(new AttemptId("attempt-" + this.number), 0, 0, this.number),
				random.nextInt(3), now.plus(slack), now.plusSeconds(60), 1000, home, false);
	}

	/**
	 * What an owner does when something happens, with a queue that keeps its length.
	 */
	enum Event {

		/** A piece arrives and another one is cancelled, while all endpoints are busy. */
		ARRIVAL {

			@Override
			Optional<PieceBatch> play(BatchPlanner planner, PieceBatch last, PieceTicket arrived, Duration now) {
				planner.add(arrived);
				planner.dropUnreachable(now);
				assertThat(planner.next(now)).isEmpty();
				planner.remove(arrived.id());
				return Optional.of(last);
			}

		},

		/** An instance is told how long a new piece would wait. */
		ESTIMATE {

			@Override
			Optional<PieceBatch> play(BatchPlanner planner, PieceBatch last, PieceTicket arrived, Duration now) {
				Duration slack = arrived.latestStart().minus(now);
				assertThat(planner.expectedWait(new PieceUrgency(arrived.priority(), slack), now)).isPositive();
				return Optional.of(last);
			}

		},

		/** A call ends, its endpoint gets the next one, and its pieces come again. */
		END_OF_CALL {

			@Override
			Optional<PieceBatch> play(BatchPlanner planner, PieceBatch last, PieceTicket arrived, Duration now) {
				planner.onBatchEnded(last, BatchOutcome.ANSWERED, CAPACITY.expectedTime(last.pieces().size()), now);
				last.pieces().forEach((piece) -> planner.onResultsFreed(last.endpoint(), piece.resultBytes()));
				planner.dropUnreachable(now);
				Optional<PieceBatch> next = planner.next(now);
				assertThat(next.orElseThrow().pieces()).hasSize(CAPACITY.maximumPieces());
				last.pieces().forEach(planner::add);
				return next;
			}

		};

		abstract Optional<PieceBatch> play(BatchPlanner planner, PieceBatch last, PieceTicket arrived, Duration now);

	}

}
