package io.wagtailmux.decision.lease;

/**
 * The stored value of a lease record. The version of the record is the fencing token: it
 * increases with each write.
 *
 * @param holder the instance that holds the lease; an empty string after a release
 * @param peerAddress the address at which other instances reach the holder, as
 * {@code host:port}; an empty string after a release
 * @author the wagtailmux developers
 */
public record LeaseValue(String holder, String peerAddress) {

	/**
	 * Returns whether the last holder released the lease.
	 * @return whether the lease has no holder
	 */
	public boolean released() {
		return this.holder.isEmpty();
	}

}
