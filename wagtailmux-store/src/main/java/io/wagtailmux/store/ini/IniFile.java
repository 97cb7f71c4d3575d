package io.wagtailmux.store.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * A parsed INI text. Problems found while its sections are read are collected, and are
 * thrown together by {@link #throwIfInvalid}. Not thread-safe.
 *
 * <p>
 * For example:
 *
 * <pre class="code">
 * IniFile file = IniFile.read(text);
 * IniSection section = file.section("callers");
 * int port = section.required("port", Integer::valueOf);
 * section.rejectUnknownKeys();
 * file.throwIfInvalid();
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class IniFile {

	private final INIConfiguration configuration;

	private final List<Problem> problems = new ArrayList<>();

	private IniFile(INIConfiguration configuration) {
		this.configuration = configuration;
	}

	/**
	 * Parses a text.
	 * @param text the INI text
	 * @return the file
	 * @throws IniException if the text cannot be parsed as INI
	 */
	public static IniFile read(String text) {
		INIConfiguration configuration = new INIConfiguration();
		try {
			configuration.read(new StringReader(text));
		}
		catch (ConfigurationException | IOException ex) {
			throw new IniException(List.of(new Problem("", "", "cannot be parsed as INI: " + ex.getMessage())));
		}
		return new IniFile(configuration);
	}

	/**
	 * Returns the names of all sections.
	 * @return the names in the order of the text; keys outside any section count as a
	 * section with an empty name
	 */
	public List<String> sectionNames() {
		return this.configuration.getSections().stream().map((name) -> (name != null) ? name : "").toList();
	}

	/**
	 * Returns a section.
	 * @param name the section's name
	 * @return the section, without keys if the text does not contain it
	 */
	public IniSection section(String name) {
		return new IniSection(name, this.configuration.getSection(name), this.problems);
	}

	/**
	 * Records a problem to be thrown later.
	 * @param problem the problem
	 */
	public void report(Problem problem) {
		this.problems.add(problem);
	}

	/**
	 * Throws all collected problems, if any.
	 * @throws IniException if there is at least one
	 */
	public void throwIfInvalid() {
		if (!this.problems.isEmpty()) {
			throw new IniException(this.problems);
		}
	}

}
