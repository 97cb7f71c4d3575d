package io.wagtailmux.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.model.BootId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.store.ClientToken;
import io.wagtailmux.store.ConditionalWrite;
import io.wagtailmux.store.RecordKey;
import io.wagtailmux.store.TableRecord;
import io.wagtailmux.store.TableStore;

/**
 * Records which incarnations of endpoints' processes are proven to sustain their warm
 * limits, so that a new limiter need not start them at the cold limit. The methods block
 * until the table answers. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
final class ProvenIncarnations {

	private final Map<RecordKey, Long> recordVersions = new HashMap<>();

	private final TableStore table;

	ProvenIncarnations(TableStore table) {
		this.table = table;
	}

	/**
	 * Reads the proven incarnations of the endpoints of a slot.
	 * @param slot the slot
	 * @return the incarnations by endpoint
	 * @throws io.wagtailmux.store.PlatformException if the table does not answer
	 */
	Map<EndpointId, BootId> read(int slot) {
		Map<EndpointId, BootId> incarnations = new HashMap<>();
		for (TableRecord record : this.table.list(partition(slot))) {
			this.recordVersions.put(record.key(), record.version());
			incarnations.put(new EndpointId(record.key().sort()), new BootId(record.value()));
		}
		return incarnations;
	}

	/**
	 * Records an incarnation as proven. If the write conflicts, the records of the slot
	 * are read again, so that a later attempt uses their current versions.
	 * @param slot the endpoint's slot
	 * @param endpoint the endpoint
	 * @param incarnation the proven incarnation
	 * @param heldCondition the condition that this instance still holds the slot
	 * @return whether it was recorded
	 * @throws io.wagtailmux.store.PlatformException if the table does not answer
	 */
	boolean record(int slot, EndpointId endpoint, BootId incarnation, ConditionalWrite heldCondition) {
		RecordKey key = new RecordKey(partition(slot), endpoint.value());
		long version = this.recordVersions.getOrDefault(key, 0L);
		ConditionalWrite write = ConditionalWrite.put(key, version, incarnation.value());
		boolean committed = this.table.commit(List.of(heldCondition, write), ClientToken.random()).committed();
		if (committed) {
			this.recordVersions.put(key, version + 1);
		}
		else {
			read(slot);
		}
		return committed;
	}

	private static String partition(int slot) {
		return "proven/" + slot;
	}

}
