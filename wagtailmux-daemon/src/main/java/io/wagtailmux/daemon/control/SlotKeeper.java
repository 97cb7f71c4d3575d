package io.wagtailmux.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.gson.Gson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.lease.HeldSlots;
import io.wagtailmux.decision.lease.LeasePlan;
import io.wagtailmux.decision.lease.LeaseRecord;
import io.wagtailmux.decision.lease.LeaseValue;
import io.wagtailmux.decision.lease.SlotLeases;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.ClientToken;
import io.wagtailmux.store.CommitResult;
import io.wagtailmux.store.ConditionalWrite;
import io.wagtailmux.store.PlatformException;
import io.wagtailmux.store.RecordKey;
import io.wagtailmux.store.TableRecord;
import io.wagtailmux.store.TableStore;

/**
 * Acquires, renews and releases this instance's slot leases in the platform's table. The
 * methods that access the table block until it answers. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
final class SlotKeeper {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	private final Gson gson = new Gson();

	private final TableStore table;

	private final TimeSource time;

	private final LeaseValue ownValue;

	private final SlotLeases leases;

	private final Map<Integer, LeaseValue> holders = new HashMap<>();

	SlotKeeper(TableStore table, TimeSource time, InstanceId instance, String peerAddress, int slots) {
		this.table = table;
		this.time = time;
		this.ownValue = new LeaseValue(instance.value(), peerAddress);
		this.leases = new SlotLeases(instance, slots);
	}

	/**
	 * Reads all leases, then renews, acquires and releases leases as planned.
	 * @param instances the number of live instances, this one included
	 * @throws PlatformException if the table does not answer; leases that were not
	 * renewed stay valid until they expire
	 */
	void maintain(int instances) {
		List<LeaseRecord> records = this.table.list(RecordKey.SLOTS).stream().map(this::leaseOf).toList();
		this.holders.clear();
		records.forEach((record) -> this.holders.put(record.slot(), record.value()));
		LeasePlan plan = this.leases.plan(records, instances, this.time.elapsed());
		renew(plan.renew());
		plan.acquire().forEach((lease) -> acquire(lease, "take"));
		plan.release().forEach(this::release);
	}

	/**
	 * Releases all leases.
	 * @throws PlatformException if the table does not answer; the leases that were not
	 * released expire
	 */
	void releaseAll() {
		Set<Integer> slots = Set.copyOf(this.leases.held().slots());
		slots.forEach((slot) -> release(
				new LeaseRecord(slot, this.leases.held().leases().get(slot).version(), this.ownValue)));
	}

	HeldSlots held() {
		return this.leases.held();
	}

	/**
	 * Returns the lease of each slot as last read or acquired, expired and released ones
	 * included.
	 * @return the leases by slot
	 */
	Map<Integer, LeaseValue> holders() {
		return Map.copyOf(this.holders);
	}

	/**
	 * Returns a condition that fails a transaction unless this instance still holds a
	 * slot.
	 * @param slot a slot that this instance holds
	 * @return the condition
	 */
	ConditionalWrite heldCondition(int slot) {
		return ConditionalWrite.check(keyOf(slot), this.leases.held().leases().get(slot).version());
	}

	// A lease counts from before the write, so that other instances, which count from
	// their first read of the record, never consider it expired earlier than this one.
	private void renew(List<LeaseRecord> held) {
		if (held.isEmpty()) {
			return;
		}
		Duration startedAt = this.time.elapsed();
		List<ConditionalWrite> writes = new ArrayList<>();
		held.forEach((lease) -> writes.add(conditionalWrite(lease, this.ownValue)));
		CommitResult result = this.table.commit(writes, ClientToken.random());
		if (result.committed()) {
			held.forEach((lease) -> this.leases.onCommitted(lease.slot(), lease.version() + 1, startedAt, false));
			return;
		}
		for (LeaseRecord lease : held) {
			if (result.conflicts().contains(keyOf(lease.slot()))) {
				this.leases.onLost(lease.slot());
				log("lost", lease.slot());
			}
		}
	}

	private void acquire(LeaseRecord lease, String decision) {
		Duration startedAt = this.time.elapsed();
		if (this.table.commit(List.of(conditionalWrite(lease, this.ownValue)), ClientToken.random()).committed()) {
			this.leases.onCommitted(lease.slot(), lease.version() + 1, startedAt, lease.version() == 0);
			this.holders.put(lease.slot(), this.ownValue);
			log(decision, lease.slot());
		}
	}

	private void release(LeaseRecord lease) {
		this.leases.onLost(lease.slot());
		this.table.commit(List.of(conditionalWrite(lease, new LeaseValue("", ""))), ClientToken.random());
		log("release", lease.slot());
	}

	private ConditionalWrite conditionalWrite(LeaseRecord lease, LeaseValue value) {
		return ConditionalWrite.put(keyOf(lease.slot()), lease.version(), this.gson.toJson(value));
	}

	private LeaseRecord leaseOf(TableRecord record) {
		int slot = Integer.parseInt(record.key().sort());
		return new LeaseRecord(slot, record.version(), this.gson.fromJson(record.value(), LeaseValue.class));
	}

	private static RecordKey keyOf(int slot) {
		return new RecordKey(RecordKey.SLOTS, String.format("%05d", slot));
	}

	private void log(String chosen, int slot) {
		LOG.atInfo()
			.addKeyValue("decision", "lease")
			.addKeyValue("instance", this.ownValue.holder())
			.addKeyValue("slot", slot)
			.addKeyValue("chosen", chosen)
			.log("lease");
	}

}
