package io.wagtailmux.daemon.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.model.InstanceId;
import io.wagtailmux.store.ListedInstance;

/**
 * The known instances: those on the platform's list, those that took part in the peer
 * exchange recently, and the holders of slot leases. Used by the control thread only.
 *
 * @author the wagtailmux developers
 */
final class PeerDirectory {

	private static final Duration CONTACT_LIFETIME = Duration.ofSeconds(5);

	private final Map<InstanceId, InetSocketAddress> listed = new HashMap<>();

	private final Map<InstanceId, InetSocketAddress> slotHolders = new HashMap<>();

	private final Map<InstanceId, Contact> contacts = new HashMap<>();

	private final InstanceId self;

	PeerDirectory(InstanceId self) {
		this.self = self;
	}

	/**
	 * Replaces the instances of the platform's list, without those that are stopping.
	 * @param instances the instances on the list
	 */
	void updateListed(List<ListedInstance> instances) {
		this.listed.clear();
		instances.forEach((instance) -> {
			if (!instance.stopping()) {
				this.listed.put(instance.id(), instance.peerAddress());
			}
		});
	}

	/**
	 * Replaces the holders of slot leases. They are contacted, but not counted as live,
	 * since a lease outlives an instance that has stopped.
	 * @param holders the peer addresses of the holders
	 */
	void updateSlotHolders(Map<InstanceId, InetSocketAddress> holders) {
		this.slotHolders.clear();
		this.slotHolders.putAll(holders);
	}

	/**
	 * Records a message from an instance. An instance that is shutting down is removed.
	 * @param instance the instance
	 * @param address the peer address of the instance
	 * @param shuttingDown whether it is shutting down
	 * @param now the elapsed time
	 */
	void recordContact(InstanceId instance, InetSocketAddress address, boolean shuttingDown, Duration now) {
		if (shuttingDown) {
			this.contacts.remove(instance);
			this.listed.remove(instance);
		}
		else if (!instance.equals(this.self)) {
			this.contacts.put(instance, new Contact(address, now));
		}
	}

	/**
	 * Returns the other instances to contact: live ones and holders of slot leases.
	 * @param now the elapsed time
	 * @return the peer address of each instance
	 */
	Map<InstanceId, InetSocketAddress> otherInstances(Duration now) {
		Map<InstanceId, InetSocketAddress> others = new HashMap<>(this.slotHolders);
		others.putAll(livePeers(now));
		others.remove(this.self);
		return others;
	}

	private Map<InstanceId, InetSocketAddress> livePeers(Duration now) {
		this.contacts.values().removeIf((contact) -> contact.at.plus(CONTACT_LIFETIME).compareTo(now) < 0);
		Map<InstanceId, InetSocketAddress> livePeers = new HashMap<>(this.listed);
		this.contacts.forEach((instance, contact) -> livePeers.put(instance, contact.address));
		livePeers.remove(this.self);
		return livePeers;
	}

	/**
	 * Returns the number of live instances.
	 * @param now the elapsed time
	 * @return the number of instances that are listed or sent a message recently, this
	 * one included
	 */
	int instanceCount(Duration now) {
		return livePeers(now).size() + 1;
	}

	private record Contact(InetSocketAddress address, Duration at) {

	}

}
