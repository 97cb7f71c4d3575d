package io.wagtailmux.decision.placement;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.wagtailmux.model.serving.PromptPart;

/**
 * The prompt parts that an engine is expected to have in its cache, derived from the
 * prompts that this instance sent there. The parts that were sent least recently are
 * evicted first. Not thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class PromptCacheView {

	private final long capacityTokens;

	private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);

	private long totalTokens;

	/**
	 * Creates an empty view.
	 * @param capacityTokens the capacity of the cache in tokens; zero if the engine has
	 * no cache
	 */
	PromptCacheView(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Adds the parts of a prompt that the engine has read.
	 * @param parts the parts in the order of the prompt
	 */
	public void add(List<PromptPart> parts) {
		for (PromptPart part : parts) {
			Integer previousTokens = this.tokensByPart.put(part.id(), part.tokens());
			this.totalTokens += part.tokens() - ((previousTokens != null) ? previousTokens : 0);
		}
		Iterator<Integer> oldest = this.tokensByPart.values().iterator();
		while (this.totalTokens > this.capacityTokens && oldest.hasNext()) {
			this.totalTokens -= oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Returns the length of the cached prefix of a prompt.
	 * @param parts the parts of the prompt; a part counts only if all parts before it are
	 * cached too
	 * @return the number of tokens
	 */
	public int cachedTokens(List<PromptPart> parts) {
		int tokens = 0;
		for (PromptPart part : parts) {
			if (!this.tokensByPart.containsKey(part.id())) {
				return tokens;
			}
			tokens += part.tokens();
		}
		return tokens;
	}

	/**
	 * Removes all parts, after a restart of the engine.
	 */
	public void clear() {
		this.tokensByPart.clear();
		this.totalTokens = 0;
	}

	/**
	 * Estimates the time to read a prompt.
	 * @param tokens the number of tokens
	 * @param tokensPerSecond the rate at which the engine reads
	 * @return the estimated time
	 */
	static Duration readingTime(long tokens, double tokensPerSecond) {
		return Duration.ofNanos((long) (tokens / tokensPerSecond * 1e9));
	}

}
