package io.wagtailmux.store;

import java.util.Set;

/**
 * Result of a transaction on the table.
 *
 * @param conflicts keys of the records whose condition did not hold; empty if the
 * transaction was committed
 * @author the wagtailmux developers
 */
public record CommitResult(Set<RecordKey> conflicts) {

	/** The result of a transaction that was committed. */
	public static final CommitResult COMMITTED = new CommitResult(Set.of());

	/**
	 * Creates the result with an immutable copy of the keys.
	 */
	public CommitResult {
		conflicts = Set.copyOf(conflicts);
	}

	/**
	 * Returns whether the transaction was committed. Without a commit nothing was
	 * written.
	 * @return whether there are no conflicts
	 */
	public boolean committed() {
		return this.conflicts.isEmpty();
	}

}
