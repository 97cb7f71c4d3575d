package io.wagtailmux.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.decision.lease.HeldSlot;
import io.wagtailmux.decision.lease.HeldSlots;
import io.wagtailmux.decision.limit.ShareGrant;
import io.wagtailmux.decision.limit.ShareLedger;
import io.wagtailmux.decision.limit.ShareReport;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.SystemConfiguration;

/**
 * Keeps a ledger of the granted shares of each endpoint whose slot this instance holds.
 * Used by the control thread only.
 *
 * @author the wagtailmux developers
 */
final class LimiterControl {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	private final Map<EndpointId, LedgerEntry> entries = new HashMap<>();

	/**
	 * Opens ledgers for endpoints whose slots are held now and drops the others. A ledger
	 * is replaced if its endpoint changed or its slot's lease was acquired anew.
	 * @param configuration the configuration in force
	 * @param slots the limiter slot of each endpoint
	 * @param held the slot leases of this instance
	 * @param now the elapsed time
	 * @return the slots for which a ledger was opened
	 */
	Set<Integer> updateSlots(SystemConfiguration configuration, SlotIndex slots, HeldSlots held, Duration now) {
		Set<Integer> valid = held.valid(now);
		Set<Integer> opened = new HashSet<>();
		Map<EndpointId, LedgerEntry> kept = new HashMap<>();
		for (Endpoint endpoint : configuration.endpoints().values()) {
			int slot = slots.limiterSlot(endpoint.id());
			if (!valid.contains(slot)) {
				continue;
			}
			HeldSlot lease = held.leases().get(slot);
			LedgerEntry entry = this.entries.get(endpoint.id());
			if (entry == null || !entry.isValidFor(endpoint, lease)) {
				entry = openLedger(configuration, endpoint, slot, lease);
				opened.add(slot);
			}
			kept.put(endpoint.id(), entry);
		}
		this.entries.clear();
		this.entries.putAll(kept);
		return opened;
	}

	/**
	 * Returns the endpoints with a ledger.
	 * @return the endpoints
	 */
	List<Endpoint> endpoints() {
		return this.entries.values().stream().map(LedgerEntry::endpoint).toList();
	}

	/**
	 * Updates the incarnation of an endpoint's process. Ignored for an endpoint without a
	 * ledger.
	 * @param endpoint the endpoint
	 * @param incarnation the incarnation that a probe found
	 */
	void onBoot(EndpointId endpoint, BootId incarnation) {
		LedgerEntry entry = this.entries.get(endpoint);
		if (entry == null) {
			return;
		}
		boolean changed = !entry.ledger.boot().equals(Optional.of(incarnation));
		entry.ledger.onBoot(incarnation);
		if (changed) {
			log(endpoint, "boot " + incarnation, entry);
		}
		if (entry.recordedProof.equals(Optional.of(incarnation))) {
			entry.ledger.markProven(incarnation);
		}
	}

	/**
	 * Marks an incarnation as proven. Ignored for an endpoint without a ledger.
	 * @param endpoint the endpoint
	 * @param incarnation the incarnation that is recorded as proven in the table
	 */
	void markProven(EndpointId endpoint, BootId incarnation) {
		LedgerEntry entry = this.entries.get(endpoint);
		if (entry != null) {
			entry.recordedProof = Optional.of(incarnation);
			entry.ledger.markProven(incarnation);
			log(endpoint, "proven " + incarnation, entry);
		}
	}

	/**
	 * Grants shares to an instance. Nothing is granted for an endpoint whose slot lease
	 * is not valid at the moment of the call.
	 * @param reports the reports of one instance
	 * @param held the slot leases of this instance
	 * @param now the elapsed time
	 * @return the grants, only for endpoints with a ledger and a known incarnation
	 */
	List<ShareGrant> grants(List<ShareReport> reports, HeldSlots held, Duration now) {
		Set<Integer> valid = held.valid(now);
		List<ShareGrant> grants = new ArrayList<>();
		for (ShareReport report : reports) {
			LedgerEntry entry = this.entries.get(report.endpoint());
			if (entry != null && valid.contains(entry.slot)) {
				int previousLimit = entry.ledger.limit();
				entry.ledger.grant(report, now).ifPresent(grants::add);
				if (entry.ledger.limit() != previousLimit) {
					log(report.endpoint(), "limit " + previousLimit + " to " + entry.ledger.limit(), entry);
				}
			}
		}
		return grants;
	}

	/**
	 * Returns the incarnations that have reached the warm limit but are not yet recorded
	 * as proven. An incarnation that is recorded already is marked as proven instead.
	 * @return the incarnations by endpoint
	 */
	Map<EndpointId, BootId> unrecordedProofs() {
		Map<EndpointId, BootId> incarnations = new HashMap<>();
		this.entries.forEach((endpoint, entry) -> entry.ledger.pendingProof().ifPresent((incarnation) -> {
			if (!entry.recordedProof.equals(Optional.of(incarnation))) {
				incarnations.put(endpoint, incarnation);
			}
			else {
				entry.ledger.markProven(incarnation);
			}
		}));
		return incarnations;
	}

	private static LedgerEntry openLedger(SystemConfiguration configuration, Endpoint endpoint, int slot,
			HeldSlot lease) {
		// The previous holder may have granted shares until it lost the lease. They may
		// still be in use, and calls started under them may still run.
		Duration earlierGrantTime = ShareLedger.GRANT_LIFETIME.plus(configuration.longestPipelineTimeout());
		Duration grantsFrom = lease.firstHolder() ? lease.heldSince() : lease.heldSince().plus(earlierGrantTime);
		ShareLedger ledger = new ShareLedger(endpoint.id(), configuration.pools().get(endpoint.pool()).contract(),
				configuration.longestPipelineTimeout(), grantsFrom);
		return new LedgerEntry(endpoint, slot, lease.heldSince(), ledger);
	}

	private static void log(EndpointId endpoint, String chosen, LedgerEntry entry) {
		LOG.atInfo()
			.addKeyValue("decision", "limit")
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("chosen", chosen)
			.addKeyValue("limit", entry.ledger.limit())
			.addKeyValue("outstanding", entry.ledger.outstanding())
			.log("limit");
	}

	/**
	 * A ledger with the slot lease under which it was opened.
	 */
	private static final class LedgerEntry {

		private final Endpoint endpoint;

		private final int slot;

		private final Duration heldSince;

		private final ShareLedger ledger;

		private Optional<BootId> recordedProof = Optional.empty();

		LedgerEntry(Endpoint endpoint, int slot, Duration heldSince, ShareLedger ledger) {
			this.endpoint = endpoint;
			this.slot = slot;
			this.heldSince = heldSince;
			this.ledger = ledger;
		}

		Endpoint endpoint() {
			return this.endpoint;
		}

		boolean isValidFor(Endpoint other, HeldSlot lease) {
			return this.endpoint.address().equals(other.address()) && this.endpoint.pool().equals(other.pool())
					&& this.heldSince.equals(lease.heldSince());
		}

	}

}
