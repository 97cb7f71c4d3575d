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
 * The ledgers of the endpoints whose slots this instance holds. Owned by the control
 * thread.
 *
 * @author the wagtailmux developers
 */
final class LimiterControl {

	private static final Logger LOG = LoggerFactory.getLogger("decision");

	private final Map<EndpointId, Account> accounts = new HashMap<>();

	/**
	 * Opens and closes ledgers as slots come and go.
	 * @param configuration the configuration in force
	 * @param slots what the slot map says of the endpoints
	 * @param held the slots that are held
	 * @param now the elapsed time
	 * @return the slots of which a ledger was opened
	 */
	Set<Integer> follow(SystemConfiguration configuration, SlotIndex slots, HeldSlots held, Duration now) {
		Set<Integer> valid = held.valid(now);
		Set<Integer> opened = new HashSet<>();
		Map<EndpointId, Account> kept = new HashMap<>();
		for (Endpoint endpoint : configuration.endpoints().values()) {
			int slot = slots.limiterSlot(endpoint.id());
			if (!valid.contains(slot)) {
				continue;
			}
			HeldSlot lease = held.leases().get(slot);
			Account account = this.accounts.get(endpoint.id());
			if (account == null || !account.opensFor(endpoint, lease)) {
				account = open(configuration, endpoint, slot, lease);
				opened.add(slot);
			}
			kept.put(endpoint.id(), account);
		}
		this.accounts.clear();
		this.accounts.putAll(kept);
		return opened;
	}

	/**
	 * Returns the endpoints with a ledger.
	 * @return the endpoints
	 */
	List<Endpoint> endpoints() {
		return this.accounts.values().stream().map(Account::endpoint).toList();
	}

	/**
	 * Takes the run of an endpoint's process that a probe found.
	 * @param endpoint the endpoint
	 * @param run the run
	 */
	void booted(EndpointId endpoint, BootId run) {
		Account account = this.accounts.get(endpoint);
		if (account == null) {
			return;
		}
		boolean changed = !account.ledger.boot().equals(Optional.of(run));
		account.ledger.onBoot(run);
		if (changed) {
			log(endpoint, "boot " + run, account);
		}
		if (account.provenRun.equals(Optional.of(run))) {
			account.ledger.markProven(run);
		}
	}

	/**
	 * Takes a run that is recorded as proven.
	 * @param endpoint the endpoint
	 * @param run the run
	 */
	void proven(EndpointId endpoint, BootId run) {
		Account account = this.accounts.get(endpoint);
		if (account != null) {
			account.provenRun = Optional.of(run);
			account.ledger.markProven(run);
			log(endpoint, "proven " + run, account);
		}
	}

	/**
	 * Decides on shares. The lease of an endpoint's slot is looked at right before.
	 * @param reports the reports of one instance
	 * @param held the slots that are held
	 * @param now the elapsed time
	 * @return the grants for those endpoints that have a ledger and a known run
	 */
	List<ShareGrant> grants(List<ShareReport> reports, HeldSlots held, Duration now) {
		Set<Integer> valid = held.valid(now);
		List<ShareGrant> grants = new ArrayList<>();
		for (ShareReport report : reports) {
			Account account = this.accounts.get(report.endpoint());
			if (account != null && valid.contains(account.slot)) {
				int before = account.ledger.limit();
				account.ledger.grant(report, now).ifPresent(grants::add);
				if (account.ledger.limit() != before) {
					log(report.endpoint(), "limit " + before + " to " + account.ledger.limit(), account);
				}
			}
		}
		return grants;
	}

	/**
	 * Returns the runs that have warmed up and whose proof is to be recorded.
	 * @return the runs by endpoint
	 */
	Map<EndpointId, BootId> unrecorded() {
		Map<EndpointId, BootId> runs = new HashMap<>();
		this.accounts.forEach((endpoint, account) -> account.ledger.pendingProof().ifPresent((run) -> {
			if (!account.provenRun.equals(Optional.of(run))) {
				runs.put(endpoint, run);
			}
			else {
				account.ledger.markProven(run);
			}
		}));
		return runs;
	}

	private static Account open(SystemConfiguration configuration, Endpoint endpoint, int slot, HeldSlot lease) {
		Duration earlierGrants = ShareLedger.GRANT_LIFETIME.plus(configuration.longestPipelineTimeout());
		Duration grantsFrom = lease.firstHolder() ? lease.heldSince() : lease.heldSince().plus(earlierGrants);
		ShareLedger ledger = new ShareLedger(endpoint.id(), configuration.pools().get(endpoint.pool()).contract(),
				configuration.longestPipelineTimeout(), grantsFrom);
		return new Account(endpoint, slot, lease.heldSince(), ledger);
	}

	private static void log(EndpointId endpoint, String chosen, Account account) {
		LOG.atInfo()
			.addKeyValue("decision", "limit")
			.addKeyValue("endpoint", endpoint)
			.addKeyValue("chosen", chosen)
			.addKeyValue("limit", account.ledger.limit())
			.addKeyValue("outstanding", account.ledger.outstanding())
			.log("limit");
	}

	/**
	 * A ledger and the lease that it is kept under.
	 */
	private static final class Account {

		private final Endpoint endpoint;

		private final int slot;

		private final Duration heldSince;

		private final ShareLedger ledger;

		private Optional<BootId> provenRun = Optional.empty();

		Account(Endpoint endpoint, int slot, Duration heldSince, ShareLedger ledger) {
			this.endpoint = endpoint;
			this.slot = slot;

			this.heldSince = heldSince;
			this.ledger = ledger;
		}

		Endpoint endpoint() {
			return this.endpoint;
		}

		boolean opensFor(Endpoint other, HeldSlot lease) {
			return this.endpoint.address().equals(other.address()) && this.endpoint.pool().equals(other.pool())
					&& this.heldSince.equals(lease.heldSince());
		}

	}

}
