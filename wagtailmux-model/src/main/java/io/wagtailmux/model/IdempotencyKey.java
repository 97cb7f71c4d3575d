package io.wagtailmux.model;

/**
 * Idempotency key with which a caller may safely repeat a request. Keys are scoped to the
 * organisation: equal keys of two organisations are unrelated.
 *
 * @param value the key: 1 to 255 printable ASCII characters, no spaces
 * @author the wagtailmux developers
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

	/**
	 * Creates the key.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public IdempotencyKey {
		IdentifierFormat.VISIBLE_ASCII.check("IdempotencyKey", value);
	}

	@Override
	public int compareTo(IdempotencyKey other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
