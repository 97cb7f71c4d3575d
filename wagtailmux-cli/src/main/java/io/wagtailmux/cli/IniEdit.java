package io.wagtailmux.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * Sets one key of one section of an INI text and keeps all other lines unchanged,
 * comments included.
 *
 * @author the wagtailmux developers
 */
final class IniEdit {

	private IniEdit() {
	}

	/**
	 * Sets a key. Its line is the first of the section; other lines of the section that
	 * set the key are removed.
	 * @param text the INI text
	 * @param section the section's name, without brackets
	 * @param key the key, without characters special to regular expressions
	 * @param value the value
	 * @return the changed text
	 * @throws CommandException if the text has no such section
	 */
	static String set(String text, String section, String key, String value) {
		List<String> lines = new ArrayList<>();
		boolean inSection = false;
		boolean found = false;
		for (String line : text.split("\n", -1)) {
			String trimmed = line.trim();
			if (trimmed.startsWith("[")) {
				inSection = trimmed.equals("[" + section + "]");
			}
			boolean replaced = inSection && trimmed.matches(key + "\\s*=.*");
			if (!replaced) {
				lines.add(line);
			}
			if (inSection && trimmed.startsWith("[")) {
				lines.add(key + " = " + value);
				found = true;
			}
		}
		if (!found) {
			throw new CommandException(ExitCode.USAGE, "there is no section [" + section + "]");
		}
		return String.join("\n", lines);
	}

}
