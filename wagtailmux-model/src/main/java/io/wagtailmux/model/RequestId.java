package io.wagtailmux.model;

/**
 * Identifies a request. The instance that receives the request generates the id and never
 * reuses it.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public RequestId {
		IdentifierFormat.NAME.check("RequestId", value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
