package io.wagtailmux.store.ini;

import java.util.Collection;
import java.util.Comparator;

import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Suggests a known name for a misspelt one.
 *
 * @author the wagtailmux developers
 */
public final class NearestName {

	private static final int MAXIMUM_EDITS = 4;

	private NearestName() {
	}

	/**
	 * Returns a hint with the known name that has the smallest edit distance.
	 * @param name the unknown name
	 * @param known the known names
	 * @return a text such as {@code "; did you mean 'port'?"}; empty if no known name is
	 * similar
	 */
	public static String hint(String name, Collection<String> known) {
		LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
		return known.stream()
			.filter((candidate) -> distance.apply(name, candidate) <= MAXIMUM_EDITS)
			.min(Comparator.comparing((candidate) -> distance.apply(name, candidate)))
			.map((candidate) -> "; did you mean '" + candidate + "'?")
			.orElse("");
	}

}
