package io.wagtailmux.model;

/**
 * Identifies a pool, uniquely within a configuration. The endpoints of a pool are
 * interchangeable except for their labels and versions.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record PoolId(String value) implements Comparable<PoolId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public PoolId {
		IdentifierFormat.NAME.check("PoolId", value);
	}

	@Override
	public int compareTo(PoolId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
