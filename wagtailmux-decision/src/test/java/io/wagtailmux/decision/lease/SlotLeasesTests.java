package io.wagtailmux.decision.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

class SlotLeasesTests {

	private static final int SLOTS = 4;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void noSlotIsValidAtTwoInstances(long seed) {
		Table table = new Table(seed);
		for (int step = 0; step < 3000; step++) {
			table.step();
			Set<Integer> valid = new HashSet<>();
			for (SlotLeases leases : table.instances) {
				leases.held()
					.valid(table.now)
					.forEach((slot) -> assertThat(valid.add(slot)).as("seed %s slot %s", seed, slot).isTrue());
			}
		}
		assertThat(table.commits).isGreaterThan(100);
	}

	@Test
	void aReleasedSlotIsAcquiredAtOnce() {
		SlotLeases leases = new SlotLeases(new InstanceId("a"), 1);
		LeasePlan plan = leases.plan(List.of(new LeaseRecord(0, 7, new LeaseValue("", ""))), 1, Duration.ofSeconds(1));
		assertThat(plan.acquire()).extracting(LeaseRecord::slot).containsExactly(0);
	}

	@Test
	void aHeldSlotIsAcquiredOnlyAfterItsRecordWasUnchangedForLongerThanTheLease() {
		SlotLeases leases = new SlotLeases(new InstanceId("a"), 1);
		List<LeaseRecord> records = List.of(new LeaseRecord(0, 7, new LeaseValue("b", "127.0.0.1:1")));
		assertThat(leases.plan(records, 1, Duration.ofSeconds(100)).acquire()).isEmpty();
		assertThat(leases.plan(records, 1, Duration.ofSeconds(108)).acquire()).isEmpty();
		assertThat(leases.plan(records, 1, Duration.ofSeconds(110)).acquire()).hasSize(1);
	}

	@Test
	void surplusSlotsAreReleasedWhenInstancesJoin() {
		SlotLeases leases = new SlotLeases(new InstanceId("a"), SLOTS);
		List<LeaseRecord> records = new ArrayList<>();
		for (int slot = 0; slot < SLOTS; slot++) {
			leases.onCommitted(slot, 1, Duration.ZERO, true);
			records.add(new LeaseRecord(slot, 1, new LeaseValue("a", "127.0.0.1:1")));
		}
		LeasePlan plan = leases.plan(records, 2, Duration.ofSeconds(1));
		assertThat(plan.renew()).hasSize(2);
		assertThat(plan.release()).hasSize(2);
	}

	/**
	 * A simulated lease table with instances that read, pause and write at random. An
	 * instance may pause between a read and the write that follows it, so that it writes
	 * on outdated records; an answer to a write may be lost.
	 */
	private static final class Table {

		private final SplittableRandom random;

		private final List<SlotLeases> instances = new ArrayList<>();

		private final Map<Integer, LeaseRecord> records = new HashMap<>();

		private final Map<Integer, LeasePlan> pending = new HashMap<>();

		private final Map<Integer, Duration> pausedUntil = new HashMap<>();

		private Duration now = Duration.ZERO;

		private int commits;

		Table(long seed) {
			this.random = new SplittableRandom(seed);
			for (int number = 0; number < 3; number++) {
				this.instances.add(new SlotLeases(new InstanceId("i" + number), SLOTS));
			}
		}

		void step() {
			this.now = this.now.plusMillis(this.random.nextInt(900));
			int number = this.random.nextInt(this.instances.size());
			if (this.pausedUntil.getOrDefault(number, Duration.ZERO).compareTo(this.now) > 0) {
				return;
			}
			if (this.random.nextInt(40) == 0) {
				this.pausedUntil.put(number, this.now.plusSeconds(this.random.nextInt(30)));
				return;
			}
			LeasePlan plan = this.pending.remove(number);
			if (plan == null) {
				this.pending.put(number, this.instances.get(number)
					.plan(List.copyOf(this.records.values()), 1 + this.random.nextInt(3), this.now));
				return;
			}
			plan.renew().forEach((lease) -> write(number, lease));
			plan.acquire().forEach((lease) -> write(number, lease));
			plan.release().forEach((lease) -> release(number, lease));
		}

		private void write(int number, LeaseRecord lease) {
			long version = this.records.containsKey(lease.slot()) ? this.records.get(lease.slot()).version() : 0;
			if (version != lease.version()) {
				this.instances.get(number).onLost(lease.slot());
				return;
			}
			this.commits++;
			this.records.put(lease.slot(),
					new LeaseRecord(lease.slot(), version + 1, new LeaseValue("i" + number, "127.0.0.1:1")));
			boolean answered = this.random.nextInt(10) > 0;
			if (answered) {
				this.instances.get(number).onCommitted(lease.slot(), version + 1, this.now, version == 0);
			}
		}

		private void release(int number, LeaseRecord lease) {
			this.instances.get(number).onLost(lease.slot());
			if (this.records.get(lease.slot()).version() == lease.version()) {
				this.records.put(lease.slot(),
						new LeaseRecord(lease.slot(), lease.version() + 1, new LeaseValue("", "")));
			}
		}

	}

}
