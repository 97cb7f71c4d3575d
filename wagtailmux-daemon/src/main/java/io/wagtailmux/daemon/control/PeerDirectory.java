package io.wagtailmux.daemon.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.model.InstanceId;
import io.wagtailmux.store.ListedInstance;

/**
 * The instances that are known: those on the platform's list and those heard from
 * directly. Owned by the control thread.
 *
 * @author the wagtailmux developers
 */
final class PeerDirectory {

	private static final Duration HEARD_LIFETIME = Duration.ofSeconds(5);

	private final Map<InstanceId, InetSocketAddress> listed = new HashMap<>();

	private final Map<InstanceId, InetSocketAddress> slotHolders = new HashMap<>();

	private final Map<InstanceId, Heard> heard = new HashMap<>();

	private final InstanceId self;

	PeerDirectory(InstanceId self) {
		this.self = self;
	}

	/**
	 * Takes the platform's list.
	 * @param instances the instances on it
	 */
	void list(List<ListedInstance> instances) {
		this.listed.clear();
		instances.forEach((instance) -> {
			if (!instance.stopping()) {
				this.listed.put(instance.id(), instance.peerAddress());
			}
		});
	}

	/**
	 * Takes the holders of slot leases. They are worth talking to, but may be gone.
	 * @param holders where the holders take part in the peer exchange
	 */
	void holders(Map<InstanceId, InetSocketAddress> holders) {
		this.slotHolders.clear();
		this.slotHolders.putAll(holders);
	}

	/**
	 * Takes note of an instance that was heard from directly.
	 * @param instance the instance
	 * @param address where it takes part in the peer exchange
	 * @param leaving whether it is shutting down
	 * @param now the elapsed time
	 */
	void hear(InstanceId instance, InetSocketAddress address, boolean leaving, Duration now) {
		if (leaving) {
			this.heard.remove(instance);
			this.listed.remove(instance);
		}
		else if (!instance.equals(this.self)) {
			this.heard.put(instance, new Heard(address, now));
		}
	}

	/**
	 * Returns the other instances to talk to.
	 * @param now the elapsed time
	 * @return where they take part in the peer exchange
	 */
	Map<InstanceId, InetSocketAddress> others(Duration now) {
		Map<InstanceId, InetSocketAddress> others = new HashMap<>(this.slotHolders);
		others.putAll(believed(now));
		others.remove(this.self);
		return others;
	}

	private Map<InstanceId, InetSocketAddress> believed(Duration now) {
		this.heard.values().removeIf((entry) -> entry.at.plus(HEARD_LIFETIME).compareTo(now) < 0);
		Map<InstanceId, InetSocketAddress> believed = new HashMap<>(this.listed);
		this.heard.forEach((instance, entry) -> believed.put(instance, entry.address));
		believed.remove(this.self);
		return believed;
	}

	/**
	 * Returns how many instances there are.
	 * @param now the elapsed time
	 * @return the number of instances, this one included
	 */
	int count(Duration now) {
		return believed(now).size() + 1;
	}

	private record Heard(InetSocketAddress address, Duration at) {

	}

}
