package io.wagtailmux.engine.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.engine.state.InstancePeer;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.engine.state.ServingView;

/**
 * Determines which instance owns a shard: the live one that ranks first for its duty.
 * Used on the traffic thread only.
 *
 * @author the wagtailmux developers
 */
final class ShardOwners {

	private final ServingState state;

	private final Map<PoolShard, Optional<InstancePeer>> owners = new HashMap<>();

	private ServingView view = ServingView.EMPTY;

	/**
	 * Creates the owners for a state.
	 * @param state has the live peers in its newest view
	 */
	ShardOwners(ServingState state) {
		this.state = state;
	}

	/**
	 * Returns the owner of a shard.
	 * @param shard the shard
	 * @return the peer; empty if this instance is the owner
	 */
	Optional<InstancePeer> owner(PoolShard shard) {
		if (this.view != this.state.view()) {
			this.view = this.state.view();
			this.owners.clear();
		}
		return this.owners.computeIfAbsent(shard, this::find);
	}

	private Optional<InstancePeer> find(PoolShard shard) {
		DutyCandidate best = this.state.self();
		InstancePeer owner = null;
		for (InstancePeer peer : this.view.peers()) {
			if (best.yieldsTo(peer.candidate(), shard.duty())) {
				best = peer.candidate();
				owner = peer;
			}
		}
		return Optional.ofNullable(owner);
	}

}
