package io.wagtailmux.decision.duty;

import java.util.Optional;

import io.wagtailmux.model.InstanceId;

/**
 * Contents of the row that says who holds the duties.
 *
 * @param holder the holder
 * @param token the holder's fencing token
 * @param released whether the holder has given the duties up and makes no more calls
 * @param previous the instance that held them before; empty for the first holder
 * @author the wagtailmux developers
 */
public record DutyLeaseRow(DutyHolder holder, FencingToken token, boolean released, Optional<InstanceId> previous) {

	/**
	 * Returns the row with which the holder gives the duties up.
	 * @return the released row
	 */
	DutyLeaseRow release() {
		return new DutyLeaseRow(this.holder, this.token, true, this.previous);
	}

	/**
	 * Returns whether an instance may take the duties without waiting. One that held them
	 * before this holder waits, so that no call of another holder lies between two of its
	 * own within the length of a lease.
	 * @param instance the instance
	 * @return whether the holder has released them to this instance
	 */
	boolean releasedTo(InstanceId instance) {
		return this.released && !this.previous.equals(Optional.of(instance));
	}

}
