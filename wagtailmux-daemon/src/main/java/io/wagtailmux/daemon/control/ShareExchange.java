package io.wagtailmux.daemon.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.daemon.traffic.PoolGate;
import io.wagtailmux.daemon.traffic.TrafficView;
import io.wagtailmux.decision.lease.HeldSlots;
import io.wagtailmux.decision.lease.LeaseValue;
import io.wagtailmux.decision.limit.ShareReport;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.peer.wire.ShareGrantMessage;

/**
 * Requests this instance's share of each endpoint from the endpoint's limiter, which is
 * this instance itself if it holds the endpoint's slot, or else a peer. Used by the
 * control thread only.
 *
 * @author the wagtailmux developers
 */
final class ShareExchange {

	private final InstanceId self;

	private final ShareControl shares;

	private final LimiterControl limiter;

	private final PeerCalls peerCalls;

	private final ControlThread control;

	private final TimeSource time;

	private final Runnable sharesChanged;

	private Map<Integer, LeaseValue> holders = Map.of();

	/**
	 * Creates the exchange.
	 * @param self this instance
	 * @param shares this instance's shares
	 * @param limiter grants shares of the endpoints that this instance limits
	 * @param peerCalls calls peers without blocking the control thread
	 * @param control the control thread
	 * @param time the clock
	 * @param sharesChanged runs on the control thread after a peer has answered with
	 * grants
	 */
	ShareExchange(InstanceId self, ShareControl shares, LimiterControl limiter, PeerCalls peerCalls,
			ControlThread control, TimeSource time, Runnable sharesChanged) {
		this.self = self;
		this.shares = shares;
		this.limiter = limiter;
		this.peerCalls = peerCalls;
		this.control = control;
		this.time = time;
		this.sharesChanged = sharesChanged;
	}

	/**
	 * Replaces the holders of the slots.
	 * @param current the leases by slot
	 */
	void updateHolders(Map<Integer, LeaseValue> current) {
		this.holders = current;
	}

	/**
	 * Reports this instance's usage and demand at each endpoint to the endpoint's
	 * limiter. Endpoints whose limiter is unknown or has a call in progress are skipped.
	 * Grants of this instance's own limiter apply at once, those of peers when they
	 * answer.
	 * @param view the configuration in force with its pools
	 * @param slots the limiter slot and the floor of each endpoint
	 * @param held the slot leases of this instance
	 * @param now the elapsed time
	 */
	void report(TrafficView view, SlotIndex slots, HeldSlots held, Duration now) {
		SystemConfiguration configuration = view.accepted().configuration();
		Map<InetSocketAddress, List<ShareReport>> byPeer = new HashMap<>();
		List<ShareReport> ownReports = new ArrayList<>();
		for (Pool pool : configuration.pools().values()) {
			PoolGate gate = view.gates().get(pool.id());
			List<ShareReport> reports = this.shares.reports(configuration, pool, gate,
					(endpoint) -> reachableLimiterOf(slots, endpoint).isPresent(), slots, now);
			for (ShareReport report : reports) {
				LeaseValue holder = reachableLimiterOf(slots, report.endpoint()).orElseThrow();
				if (isSelf(holder)) {
					ownReports.add(report);
				}
				else {
					byPeer.computeIfAbsent(PeerMessages.address(holder.peerAddress()), (key) -> new ArrayList<>())
						.add(report);
				}
			}
		}
		this.shares.updateGrants(this.limiter.grants(ownReports, held, now), now);
		byPeer.forEach(this::requestGrants);
	}

	private Optional<LeaseValue> reachableLimiterOf(SlotIndex slots, EndpointId endpoint) {
		LeaseValue holder = this.holders.get(slots.limiterSlot(endpoint));
		boolean reachable = holder != null && !holder.released()
				&& (isSelf(holder) || this.peerCalls.isIdle(PeerMessages.address(holder.peerAddress())));
		return reachable ? Optional.of(holder) : Optional.empty();
	}

	private boolean isSelf(LeaseValue holder) {
		return holder.holder().equals(this.self.value());
	}

	private void requestGrants(InetSocketAddress limiterAddress, List<ShareReport> reports) {
		this.peerCalls.call(limiterAddress, (peer) -> {
			Duration requestedAt = this.time.elapsed();
			List<ShareGrantMessage> grants = peer.shares(this.self.value(), PeerMessages.reportMessages(reports));
			this.control.post(() -> {
				this.shares.updateGrants(PeerMessages.grants(grants), requestedAt);
				this.sharesChanged.run();
			});
		});
	}

}
