package io.wagtailmux.model;

/**
 * Identifies the version of the software or model that an endpoint runs. Endpoints of one
 * pool that run the same version give equivalent responses.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record VersionId(String value) implements Comparable<VersionId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public VersionId {
		IdentifierFormat.NAME.check("VersionId", value);
	}

	@Override
	public int compareTo(VersionId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
