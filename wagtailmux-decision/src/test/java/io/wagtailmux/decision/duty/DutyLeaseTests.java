package io.wagtailmux.decision.duty;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.wagtailmux.decision.duty.DutySimulation.Trouble;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.StoreVersion;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DutyLease} and {@link UsageReports} together.
 */
class DutyLeaseTests {

	private static final Duration WARM_UP = Duration.ofSeconds(14);

	private static final int RANDOM_RUNS = 400;

	private static final DutyHolder SELF = new DutyHolder(new InstanceId("instance-1"), 1);

	private static final DutyLeaseRow OTHER_ROW = new DutyLeaseRow(new DutyHolder(new InstanceId("instance-2"), 1),
			new FencingToken(4), false, Optional.empty());

	private static Stream<Arguments> disturbances() {
		return Stream.of(row("nothing", (play) -> {
		}), row("the holder dies", (play) -> play.instance(0).kill()),
				row("the holder starts again on its machine", (play) -> {
					play.instance(0).kill();
					play.run(Duration.ofMillis(700));
					play.instance(0).start();
				}), row("the holder freezes and wakes", (play) -> {
					play.instance(0).begin(Trouble.FROZEN);
					play.instance(0).begin(Trouble.UNREACHABLE);
					play.run(Duration.ofSeconds(8));
					play.instance(0).end(Trouble.FROZEN);
					play.run(Duration.ofMillis(600));
					play.instance(0).end(Trouble.UNREACHABLE);
				}), row("the holder is suspended, which its monotonic clock does not show", (play) -> {
					play.instance(0).begin(Trouble.SUSPENDED);
					play.instance(0).begin(Trouble.UNREACHABLE);
					play.run(Duration.ofSeconds(8));
					play.instance(0).end(Trouble.SUSPENDED);
					play.instance(0).end(Trouble.UNREACHABLE);
				}), row("the holder is cut off from the store, then from the others", (play) -> {
					play.instance(0).begin(Trouble.CUT_FROM_STORE);
					play.run(Duration.ofSeconds(2));
					play.instance(0).begin(Trouble.UNREACHABLE);
					play.run(Duration.ofSeconds(7));
					play.instance(0).end(Trouble.CUT_FROM_STORE);
					play.instance(0).end(Trouble.UNREACHABLE);
				}), row("the others do not hear the holder, which goes on", (play) -> {
					play.instance(0).begin(Trouble.UNREACHABLE);
					play.run(Duration.ofSeconds(9));
					play.instance(0).end(Trouble.UNREACHABLE);
				}), row("the holder stops and hands over", (play) -> {
					play.instance(0).begin(Trouble.STOPPING);
					play.run(Duration.ofSeconds(1));
					play.instance(0).kill();
					play.run(Duration.ofMillis(500));
					play.instance(0).start();
				}), row("answers of the store and the receiver are lost", (play) -> {
					play.lostAnswers(0.4);
					play.run(Duration.ofSeconds(15));
					play.lostAnswers(0);
				}), row("the receiver refuses calls", (play) -> {
					play.refusedCalls(0.7);
					play.run(Duration.ofSeconds(10));
					play.refusedCalls(0);
				}), row("the store is down, the holder alive", (play) -> {
					play.storeDown(true);
					play.run(Duration.ofSeconds(10));
					play.storeDown(false);
				}), row("the store is down, the holder dead", (play) -> {
					play.storeDown(true);
					play.instance(0).kill();
					play.run(Duration.ofSeconds(10));
					play.storeDown(false);
				}),
				row("the holder's wall clock jumps forward",
						(play) -> play.instance(0).stepWall(Duration.ofSeconds(30))),
				row("the holder's wall clock jumps back", (play) -> {
					play.instance(0).stepWall(Duration.ofSeconds(-30));
					play.run(Duration.ofSeconds(3));
					play.instance(0).kill();
				}), row("the store is restored from a copy of before the last take-over", (play) -> {
					play.instance(0).kill();
					play.run(Duration.ofSeconds(6));
					play.instance(0).start();
					play.restore(Duration.ofSeconds(7));
				}), row("the same, and the former holder still runs", (play) -> {
					play.instance(0).begin(Trouble.CUT_FROM_STORE);
					play.instance(0).begin(Trouble.UNREACHABLE);
					play.run(Duration.ofSeconds(7));
					play.restore(Duration.ofSeconds(7));
					play.instance(0).end(Trouble.CUT_FROM_STORE);
					play.instance(0).end(Trouble.UNREACHABLE);
				}), row("the copy says that the duties were released", (play) -> {
					for (int i = 0; i < play.size(); i++) {
						play.instance(i).begin(Trouble.STOPPING);
					}
					play.run(Duration.ofMillis(1500));
					play.instance(1).end(Trouble.STOPPING);
					play.run(Duration.ofSeconds(5));
					play.restore(Duration.ofMillis(5500));
					play.instance(0).end(Trouble.STOPPING);
				}), row("the copy lacks reports that were sent, and their holder dies", (play) -> {
					play.restore(Duration.ofSeconds(13));
					play.instance(0).kill();
				}), row("a release without an answer is withdrawn", (play) -> {
					play.lostAnswers(1);
					play.instance(0).begin(Trouble.STOPPING);
					play.run(Duration.ofMillis(600));
					play.lostAnswers(0);
					play.instance(0).end(Trouble.STOPPING);
					play.run(Duration.ofMillis(900));
					play.instance(0).begin(Trouble.UNREACHABLE);
				}), row("two holders stop one after the other, the first is back by then", (play) -> {
					play.instance(0).begin(Trouble.STOPPING);
					play.run(Duration.ofMillis(1500));
					play.instance(1).begin(Trouble.STOPPING);
					play.run(Duration.ofMillis(600));
					play.instance(0).end(Trouble.STOPPING);
				}));
	}

	private static Arguments row(String name, Consumer<DutySimulation> disturbance) {
		return Arguments.of(name, disturbance);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("disturbances")
	void theReceiverSeesOneHolderAndOneContent(String name, Consumer<DutySimulation> disturbance) {
		for (long seed = 1; seed <= 20; seed++) {
			DutySimulation play = new DutySimulation(4, seed);
			play.run(WARM_UP);
			disturbance.accept(play);
			play.run(Duration.ofSeconds(20));
			assertThat(play.violations()).as("seed %d", seed).isEmpty();
			assertThat(play.holder()).as("a holder after it, seed %d", seed).isPresent();
			assertThat(play.windowsReported()).as("windows, seed %d", seed).isGreaterThanOrEqualTo(4);
		}
	}

	@Test
	void aReleasedRowOfARestoredStoreIsNotTakenAtOnce() {
		DutyLease lease = new DutyLease(SELF, DutySimulation.LEASE);
		assertThat(lease.next(clocks(0), LeaseWish.TAKE, false)).isInstanceOf(LeaseStep.Read.class);
		lease.onRead(Optional.of(OTHER_ROW.release()), new StoreVersion(2, 5), 2, clocks(10));
		assertThat(lease.next(clocks(20), LeaseWish.TAKE, false)).isInstanceOf(LeaseStep.Wait.class);
	}

	@Test
	void afterAReleaseOfUnknownOutcomeNoCallIsMadeUntilTheRowIsWrittenAgain() {
		DutyLease lease = new DutyLease(SELF, DutySimulation.LEASE);
		lease.next(clocks(0), LeaseWish.TAKE, false);
		lease.onRead(Optional.of(OTHER_ROW.release()), new StoreVersion(1, 5), 1, clocks(10));
		LeaseStep.Write taken = (LeaseStep.Write) lease.next(clocks(20), LeaseWish.TAKE, false);
		lease.onWritten(new StoreVersion(1, 6), clocks(30));
		assertThat(lease.permit(clocks(400))).isPresent();
		assertThat(lease.next(clocks(400), LeaseWish.RELEASE, false)).isInstanceOf(LeaseStep.Write.class);
		lease.onWriteFailed(false, clocks(500));
		assertThat(lease.next(clocks(1000), LeaseWish.TAKE, false)).isInstanceOf(LeaseStep.Read.class);
		assertThat(lease.permit(clocks(1000))).isEmpty();
		lease.onRead(Optional.of(taken.row()), new StoreVersion(1, 6), 1, clocks(1010));
		assertThat(lease.permit(clocks(1010))).isEmpty();
		lease.next(clocks(1100), LeaseWish.TAKE, false);
		lease.onWritten(new StoreVersion(1, 7), clocks(1110));
		assertThat(lease.permit(clocks(1110))).isPresent();
	}

	private static ClockReading clocks(long millis) {
		return new ClockReading(Duration.ofMillis(millis), Duration.ofMillis(millis));
	}

	/**
	 * Disturbances at random moments, several at a time. Restores are left out: a copy
	 * without the row of the holder is covered above.
	 */
	@Test
	void theSameInAnyOrder() {
		for (long seed = 1; seed <= RANDOM_RUNS; seed++) {
			DutySimulation play = new DutySimulation(4, seed);
			SplittableRandom random = new SplittableRandom(seed);
			for (int i = 0; i < 40; i++) {
				play.run(Duration.ofMillis(random.nextInt(50, 3500)));
				disturb(play, random);
			}
			assertThat(play.violations()).as("seed %d", seed).isEmpty();
		}
	}

	private static void disturb(DutySimulation play, SplittableRandom random) {
		DutySimulation.Instance instance = play.instance(random.nextInt(play.size()));
		switch (random.nextInt(9)) {
			case 0 -> instance.kill();
			case 1 -> instance.start();
			case 2 -> instance.toggle(Trouble.FROZEN);
			case 3 -> instance.toggle(Trouble.SUSPENDED);
			case 4 -> instance.toggle(Trouble.UNREACHABLE);
			case 5 -> instance.toggle(Trouble.CUT_FROM_STORE);
			case 6 -> instance.stepWall(Duration.ofMillis(random.nextInt(0, 5000)));
			case 7 -> instance.toggle(Trouble.STOPPING);
			default -> {
				play.storeDown(random.nextInt(4) == 0);
				play.lostAnswers(random.nextBoolean() ? 0 : 0.3);
			}
		}
	}

}
