package io.wagtailmux.model;

/**
 * Identifies one incarnation of an endpoint's process. The value changes with each
 * restart, so a new value means that the endpoint is cold.
 *
 * @param value the id: 1 to 255 printable ASCII characters, no spaces
 * @author the wagtailmux developers
 */
public record BootId(String value) implements Comparable<BootId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public BootId {
		IdentifierFormat.VISIBLE_ASCII.check("BootId", value);
	}

	@Override
	public int compareTo(BootId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
