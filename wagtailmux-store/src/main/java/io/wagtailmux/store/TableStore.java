package io.wagtailmux.store;

import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table.
 *
 * <p>
 * Every operation may throw a {@link PlatformException}. After
 * {@link PlatformErrorCode#UNKNOWN_OUTCOME} a transaction may or may not have been
 * committed: the writer determines which by calling {@link #commit} again with the same
 * token, or by reading back a value that only this writer could have written.
 *
 * @author the wagtailmux developers
 */
public interface TableStore {

	/** The maximum number of writes in a transaction. */
	int MAXIMUM_WRITES = 100;

	/**
	 * Reads a record with strong consistency: the result reflects every earlier commit.
	 * @param key the record's key
	 * @return the record; empty if it does not exist
	 */
	Optional<TableRecord> get(RecordKey key);

	/**
	 * Reads all records of a partition with strong consistency.
	 * @param partition the partition
	 * @return its records in the order of their sort keys
	 */
	List<TableRecord> list(String partition);

	/**
	 * Writes all records in one transaction if every condition holds, and none otherwise.
	 * @param writes at least one and at most {@link #MAXIMUM_WRITES} writes with distinct
	 * keys
	 * @param token identifies this transaction; repeating it has no further effect
	 * @return the keys of the conditions that did not hold, if any
	 */
	CommitResult commit(List<ConditionalWrite> writes, ClientToken token);

}
