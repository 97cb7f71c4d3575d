package io.wagtailmux.model;

/**
 * Identifies an instance of the proxy, which is one {@code wagtailmuxd} process, uniquely
 * among the running instances. It is configured in the settings of the process.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public InstanceId {
		IdentifierFormat.NAME.check("InstanceId", value);
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
