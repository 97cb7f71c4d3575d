package io.wagtailmux.decision.duty;

import io.wagtailmux.model.StoreVersion;

/**
 * What an instance does next about the lease on the duties.
 *
 * @author the wagtailmux developers
 */
public sealed interface LeaseStep {

	/**
	 * Nothing for now.
	 */
	record Wait() implements LeaseStep {

	}

	/**
	 * Read the row of the lease.
	 */
	record Read() implements LeaseStep {

	}

	/**
	 * Write the row of the lease.
	 *
	 * @param row the new contents
	 * @param expected the version that the row must have
	 */
	record Write(DutyLeaseRow row, StoreVersion expected) implements LeaseStep {

	}

}
