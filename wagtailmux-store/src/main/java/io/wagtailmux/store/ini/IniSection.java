package io.wagtailmux.store.ini;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;

import org.apache.commons.configuration2.Configuration;
import org.apache.commons.configuration2.SubnodeConfiguration;

/**
 * A section of an {@link IniFile}. Keys that are not read count as unknown. Problems are
 * added to the file.
 *
 * <p>
 * Read a section completely before getting the next one: {@link #build} attributes every
 * problem that was added to the file since the section was created to this section.
 *
 * @author the wagtailmux developers
 */
public final class IniSection {

	private final String name;

	private final Configuration values;

	private final List<Problem> problems;

	private final Set<String> knownKeys = new TreeSet<>();

	private final int problemCountAtCreation;

	IniSection(String name, SubnodeConfiguration values, List<Problem> problems) {
		this.name = name;
		this.values = values;
		this.problems = problems;
		this.problemCountAtCreation = problems.size();
	}

	/**
	 * Reads a value that is required.
	 * @param <T> the value's type
	 * @param key the key; a problem is reported if it appears several times
	 * @param convert parses the text; any unchecked exception is reported as a problem
	 * @return the first value of the key, or {@code null} after reporting that it is
	 * missing or not valid
	 */
	public <T> T required(String key, Function<String, T> convert) {
		Optional<String> text = textOf(key);
		if (text.isEmpty()) {
			report(key, "is missing");
			return null;
		}
		return convertOrReport(key, text.get(), convert);
	}

	/**
	 * Reads a value that is optional.
	 * @param <T> the value's type
	 * @param key the key; a problem is reported if it appears several times
	 * @param fallback the value if the section does not contain the key
	 * @param convert parses the text; any unchecked exception is reported as a problem
	 * @return the first value of the key or the fallback, or {@code null} after reporting
	 * that the value is not valid
	 */
	public <T> T optional(String key, T fallback, Function<String, T> convert) {
		Optional<String> text = textOf(key);
		return text.isEmpty() ? fallback : convertOrReport(key, text.get(), convert);
	}

	/**
	 * Reports each key that has not been read as unknown, and suggests the most similar
	 * key among those read.
	 */
	public void rejectUnknownKeys() {
		this.values.getKeys().forEachRemaining((key) -> {
			if (!this.knownKeys.contains(key)) {
				report(key, "is unknown" + NearestName.hint(key, this.knownKeys));
			}
		});
	}

	/**
	 * Rejects unknown keys and creates an object from the values read, unless this
	 * section has a problem.
	 * @param <T> the object's type
	 * @param create creates the object; any unchecked exception is reported as a problem
	 * of the section
	 * @return the object; empty if the section has a problem
	 */
	public <T> Optional<T> build(Supplier<T> create) {
		rejectUnknownKeys();
		if (this.problems.size() > this.problemCountAtCreation) {
			return Optional.empty();
		}
		try {
			return Optional.of(create.get());
		}
		catch (RuntimeException ex) {
			report("", ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Reports a problem.
	 * @param key the invalid key, or an empty text if the section itself is invalid
	 * @param reason the reason, phrased to follow the key
	 */
	public void report(String key, String reason) {
		this.problems.add(new Problem(this.name, key, reason));
	}

	private Optional<String> textOf(String key) {
		this.knownKeys.add(key);
		List<Object> all = this.values.getList(key, List.of());
		if (all.size() > 1) {
			report(key, "appears " + all.size() + " times");
		}
		return all.isEmpty() ? Optional.empty() : Optional.of(all.get(0).toString());
	}

	private <T> T convertOrReport(String key, String text, Function<String, T> convert) {
		try {
			return convert.apply(text);
		}
		catch (RuntimeException ex) {
			report(key, "'" + text + "' is not valid: " + ex.getMessage());
			return null;
		}
	}

}
