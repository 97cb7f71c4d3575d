package io.wagtailmux.model.serving;

import java.util.List;
import java.util.Optional;

/**
 * Description of the text generation that a request asks a model engine for.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param maximumOutputTokens the largest length of the output, in tokens
 * @param parts the parts of the prompt in order; copied. The last part is not shared
 * outside the request or its session
 * @author the wagtailmux developers
 */
public record Generation(int promptTokens, int maximumOutputTokens, List<PromptPart> parts) {

	/** For requests whose callers state no token counts. */
	public static final Generation NONE = new Generation(0, 0, List.of());

	/**
	 * Creates the description.
	 */
	public Generation {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the last part of the prompt that other requests may share, which is the
	 * second-last part.
	 * @return the part; if there is just one part, that part although it is not shared;
	 * empty if there are no parts
	 */
	public Optional<PromptPart> lastSharedPart() {
		if (this.parts.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.parts.get(Math.max(0, this.parts.size() - 2)));
	}

	/**
	 * Returns the parts of the prompt that other requests may share.
	 * @return all parts but the last; empty if there are fewer than two
	 */
	public List<PromptPart> sharedParts() {
		return this.parts.subList(0, Math.max(0, this.parts.size() - 1));
	}

	/**
	 * Returns the ids of the parts of the prompt that other requests may share.
	 * @return the ids of all parts but the last
	 */
	public List<String> sharedPartIds() {
		return sharedParts().stream().map(PromptPart::id).toList();
	}

}
