package io.wagtailmux.model;

/**
 * Identifies a stage, uniquely within its pipeline.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record StageName(String value) implements Comparable<StageName> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public StageName {
		IdentifierFormat.NAME.check("StageName", value);
	}

	@Override
	public int compareTo(StageName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
