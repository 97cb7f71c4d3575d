package io.wagtailmux.store;

import java.util.Optional;

/**
 * One record's part of a transaction: a condition on the record's version and, unless the
 * part only checks, the value to write if every condition of the transaction holds.
 *
 * @param key the record's key
 * @param expectedVersion the version that the record must have; zero if it must not exist
 * @param value the JSON text to write; empty if the condition is only checked
 * @author the wagtailmux developers
 */
public record ConditionalWrite(RecordKey key, long expectedVersion, Optional<String> value) {

	/**
	 * Creates a conditional write. The record's new version is the expected one plus one.
	 * @param key the record's key
	 * @param expectedVersion the version that it must have; zero if it must not exist
	 * @param value the JSON text to write
	 * @return the write
	 */
	public static ConditionalWrite put(RecordKey key, long expectedVersion, String value) {
		return new ConditionalWrite(key, expectedVersion, Optional.of(value));
	}

	/**
	 * Creates a condition that writes nothing.
	 * @param key the record's key
	 * @param expectedVersion the version that it must have; zero if it must not exist
	 * @return the condition
	 */
	public static ConditionalWrite check(RecordKey key, long expectedVersion) {
		return new ConditionalWrite(key, expectedVersion, Optional.empty());
	}

}
