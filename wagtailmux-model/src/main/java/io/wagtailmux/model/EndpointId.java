package io.wagtailmux.model;

/**
 * Identifies an endpoint, uniquely within a configuration. The id stays the same when the
 * endpoint restarts; {@link BootId} tells its processes apart.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public EndpointId {
		IdentifierFormat.NAME.check("EndpointId", value);
	}

	@Override
	public int compareTo(EndpointId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
