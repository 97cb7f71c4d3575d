package io.wagtailmux.model;

/**
 * Identifies one attempt of a caller to send a request. The caller generates it, with a
 * new value for each retry.
 *
 * @param value the id: 1 to 255 printable ASCII characters, no spaces
 * @author the wagtailmux developers
 */
public record AttemptId(String value) {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public AttemptId {
		IdentifierFormat.VISIBLE_ASCII.check("AttemptId", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
