package io.wagtailmux.model;

/**
 * Identifies a pipeline, uniquely within a configuration. Callers put it into the path of
 * their requests.
 *
 * @param value the id: a letter or digit, then at most 62 letters, digits, dots,
 * underscores or hyphens
 * @author the wagtailmux developers
 */
public record PipelineId(String value) implements Comparable<PipelineId> {

	/**
	 * Creates the id.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the value
	 * is null or does not have this form
	 */
	public PipelineId {
		IdentifierFormat.NAME.check("PipelineId", value);
	}

	@Override
	public int compareTo(PipelineId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
