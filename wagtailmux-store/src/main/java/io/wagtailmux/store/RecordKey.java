package io.wagtailmux.store;

/**
 * Key of a record in the platform's table.
 *
 * @param partition the partition; the records of one partition can be listed together
 * @param sort the sort key, which orders the records of a partition
 * @author the wagtailmux developers
 */
public record RecordKey(String partition, String sort) {

	/**
	 * The key of the current configuration's head, a
	 * {@link io.wagtailmux.store.configuration.ConfigurationHead}.
	 */
	public static final RecordKey CONFIGURATION_HEAD = new RecordKey("configuration", "head");

	/** The partition with the heads of all accepted configurations. */
	public static final String CONFIGURATION_HISTORY = "configuration-history";

	/** The partition with the leases of instance slots. */
	public static final String SLOTS = "slot";

	/**
	 * Returns the key of the history record of a configuration. The version is padded
	 * with zeros, so that the history is listed in the order of versions.
	 * @param version the configuration's version
	 * @return the key
	 */
	public static RecordKey configuration(long version) {
		return new RecordKey(CONFIGURATION_HISTORY, String.format("%010d", version));
	}

	/**
	 * Returns the key of a claim. Each claim has its own partition, which spreads the
	 * load of claims over the table.
	 * @param organisation the organisation's id
	 * @param keyDigest the digest of the idempotency key
	 * @return the key
	 */
	public static RecordKey claim(String organisation, String keyDigest) {
		return new RecordKey("claim/" + organisation + "/" + keyDigest, "claim");
	}

	@Override
	public String toString() {
		return this.partition + "/" + this.sort;
	}

}
