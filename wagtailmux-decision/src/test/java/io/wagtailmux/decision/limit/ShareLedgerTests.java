package io.wagtailmux.decision.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Contract;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

class ShareLedgerTests {

	private static final EndpointId ENDPOINT = new EndpointId("endpoint");

	private static final Duration LONGEST_CALL = Duration.ofSeconds(5);

	static List<Long> seeds() {
		List<Long> seeds = new ArrayList<>();
		for (long seed = 1; seed <= 40; seed++) {
			seeds.add(seed);
		}
		return seeds;
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void callsInFlightNeverExceedTheLimitOfTheIncarnation(long seed) {
		Simulation simulation = new Simulation(seed);
		for (int step = 0; step < 6000; step++) {
			simulation.step();
			assertThat(simulation.inFlight()).as("seed %s step %s", seed, step)
				.isLessThanOrEqualTo(simulation.trueLimit());
		}
		assertThat(simulation.started).isGreaterThan(100);
	}

	@Test
	void aFailureDuringWarmUpResetsToTheColdLimit() {
		ShareLedger ledger = new ShareLedger(ENDPOINT, new Contract(1, 8, 1), LONGEST_CALL, Duration.ZERO);
		ledger.onBoot(new BootId("boot"));
		ledger.grant(report("boot", 0, 8, 2, 0), Duration.ofSeconds(1));
		assertThat(ledger.limit()).isEqualTo(4);
		ledger.grant(report("boot", 0, 8, 0, 1), Duration.ofSeconds(2));
		assertThat(ledger.limit()).isEqualTo(1);
	}

	@Test
	void nothingIsGrantedBeforeTheGrantsOfAnEarlierLimiterHaveEnded() {
		ShareLedger ledger = new ShareLedger(ENDPOINT, new Contract(2, 8, 1), LONGEST_CALL, Duration.ofSeconds(8));
		ledger.onBoot(new BootId("boot"));
		assertThat(ledger.grant(report("boot", 0, 2, 0, 0), Duration.ofSeconds(7)).orElseThrow().units()).isZero();
		assertThat(ledger.grant(report("boot", 0, 2, 0, 0), Duration.ofSeconds(8)).orElseThrow().units()).isEqualTo(2);
	}

	@ParameterizedTest
	@CsvSource({ "1, 8", "2, 4", "4, 2" })
	void allGrantableUnitsAreGrantedToInstancesOfEqualDemand(int instances, int part) {
		ShareLedger ledger = new ShareLedger(ENDPOINT, new Contract(8, 8, 1), LONGEST_CALL, Duration.ZERO);
		ledger.onBoot(new BootId("boot"));
		ledger.markProven(new BootId("boot"));
		int grantable = 4;
		for (int round = 0; round < 3; round++) {
			for (int number = 0; number < instances; number++) {
				ShareReport report = new ShareReport(new InstanceId("i" + number), ENDPOINT, "boot",
						(round > 0) ? grantable / instances : 0, 0, 8, 0, 0);
				ledger.grant(report, Duration.ofSeconds(1 + round));
			}
		}
		assertThat(ledger.outstanding()).isEqualTo(grantable);
		assertThat(part * instances).isEqualTo(8);
	}

	private static ShareReport report(String boot, int granted, int wanted, int good, int failures) {
		return new ShareReport(new InstanceId("one"), ENDPOINT, boot, granted, 0, wanted, good, failures);
	}

	/**
	 * A simulation of instances, an endpoint that restarts without notice and a limiter
	 * that is replaced, all at random. One in ten grants is lost.
	 */
	private static final class Simulation {

		private static final int SLOTS = 5;

		private final SplittableRandom random;

		private final Contract contract;

		private final List<Client> clients = new ArrayList<>();

		private final SlotMap slots = new SlotMap(SLOTS);

		private ShareLedger ledger;

		private Duration now = Duration.ZERO;

		private int bootNumber = 1;

		private int answersSinceBoot;

		private Optional<BootId> recorded = Optional.empty();

		private int started;

		Simulation(long seed) {
			this.random = new SplittableRandom(seed);
			this.contract = new Contract(1 << this.random.nextInt(3), 8, 1 + this.random.nextInt(3));
			for (int number = 0; number < SLOTS; number++) {
				this.clients.add(new Client(new InstanceId("i" + number), Set.of(number)));
			}
			this.ledger = new ShareLedger(ENDPOINT, this.contract, LONGEST_CALL, Duration.ZERO);
		}

		void step() {
			this.now = this.now.plusMillis(this.random.nextInt(120));
			this.clients.forEach(this::endOverdueCalls);
			Client client = this.clients.get(this.random.nextInt(SLOTS));
			int event = this.random.nextInt(1000);
			if (event < 3) {
				restart();
			}
			else if (event < 5) {
				replaceLimiter();
			}
			else if (event < 60) {
				probe();
			}
			else if (event < 400) {
				start(client);
			}
			else if (event < 700) {
				end(client);
			}
			else {
				requestGrant(client);
			}
		}

		int inFlight() {
			return this.clients.stream().mapToInt((client) -> client.calls.size()).sum();
		}

		int trueLimit() {
			long doublings = Math.min(20, this.answersSinceBoot / this.contract.warmAfter());
			return (int) Math.min(this.contract.warmLimit(), (long) this.contract.coldLimit() << doublings);
		}

		private BootId boot() {
			return new BootId("boot-" + this.bootNumber);
		}

		private void restart() {
			this.bootNumber++;
			this.answersSinceBoot = 0;
			this.clients.forEach((client) -> client.calls.clear());
		}

		private void replaceLimiter() {
			Duration grantsFrom = this.now.plus(ShareLedger.GRANT_LIFETIME).plus(LONGEST_CALL);
			this.ledger = new ShareLedger(ENDPOINT, this.contract, LONGEST_CALL, grantsFrom);
		}

		private void probe() {
			this.ledger.onBoot(boot());
			this.recorded.ifPresent(this.ledger::markProven);
			this.ledger.pendingProof().ifPresent((incarnation) -> {
				this.recorded = Optional.of(incarnation);
				this.ledger.markProven(incarnation);
			});
		}

		private void start(Client client) {
			int share = client.share.share(client.floor(this), this.now);
			boolean reachesCurrentBoot = client.share.boot().equals(Optional.of(boot()));
			if (client.calls.size() < share && reachesCurrentBoot) {
				client.calls.add(new CallInFlight(this.now, client.calls.size() + 1));
				this.started++;
			}
		}

		private void end(Client client) {
			if (!client.calls.isEmpty()) {
				CallInFlight call = client.calls.remove(this.random.nextInt(client.calls.size()));
				recordAnswer(client, call);
			}
		}

		private void endOverdueCalls(Client client) {
			List<CallInFlight> overdue = client.calls.stream()
				.filter((call) -> this.now.minus(call.startedAt).compareTo(LONGEST_CALL.minusMillis(200)) > 0)
				.toList();
			client.calls.removeAll(overdue);
			overdue.forEach((call) -> recordAnswer(client, call));
		}

		private void recordAnswer(Client client, CallInFlight call) {
			this.answersSinceBoot++;
			client.share.onCallEnded(CallOutcome.ANSWERED, call.inFlightAtStart,
					client.share.share(client.floor(this), this.now), this.now);
		}

		private void requestGrant(Client client) {
			int floor = client.share.proven() ? client.floor(this) : 0;
			ShareReport report = new ShareReport(client.id, ENDPOINT,
					client.share.boot().map(Object::toString).orElse(""), client.share.granted(this.now),
					Math.max(0, client.calls.size() - floor), this.random.nextInt(9), client.share.takeGoodAnswers(),
					0);
			Optional<ShareGrant> grant = this.ledger.grant(report, this.now);
			boolean arrives = this.random.nextInt(10) > 0;
			if (grant.isPresent() && arrives) {
				client.share.updateGrant(grant.get(), this.now);
			}
		}

	}

	private static final class Client {

		private final InstanceId id;

		private final Set<Integer> slots;

		private final EndpointShare share = new EndpointShare();

		private final List<CallInFlight> calls = new ArrayList<>();

		Client(InstanceId id, Set<Integer> slots) {
			this.id = id;
			this.slots = new HashSet<>(slots);
		}

		int floor(Simulation simulation) {
			return simulation.slots.floorOf(ENDPOINT, simulation.contract, this.slots);
		}

	}

	private static final class CallInFlight {

		private final Duration startedAt;

		private final int inFlightAtStart;

		CallInFlight(Duration startedAt, int inFlightAtStart) {
			this.startedAt = startedAt;
			this.inFlightAtStart = inFlightAtStart;
		}

	}

}
