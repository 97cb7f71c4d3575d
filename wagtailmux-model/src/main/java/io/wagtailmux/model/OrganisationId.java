package io.wagtailmux.model;

/**
 * Identifies an organisation, uniquely within a configuration. All requests of an
 * organisation share its token, its weight and the scope of its idempotency keys.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public OrganisationId {
		IdentifierFormat.NAME.check("OrganisationId", value);
	}

	@Override
	public int compareTo(OrganisationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
