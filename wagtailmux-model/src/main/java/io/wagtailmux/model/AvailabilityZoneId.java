package io.wagtailmux.model;

/**
 * Identifies an availability zone, uniquely within a configuration.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record AvailabilityZoneId(String value) implements Comparable<AvailabilityZoneId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public AvailabilityZoneId {
		IdentifierFormat.NAME.check("AvailabilityZoneId", value);
	}

	@Override
	public int compareTo(AvailabilityZoneId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
