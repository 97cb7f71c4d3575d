package io.wagtailmux.store.ini;

import java.util.List;
import java.util.stream.Collectors;

import io.wagtailmux.store.PlatformErrorCode;
import io.wagtailmux.store.PlatformException;

/**
 * Thrown for an INI text that is malformed or invalid, with all problems found.
 *
 * @author the wagtailmux developers
 */
public final class IniException extends PlatformException {

	private final transient List<Problem> problems;

	/**
	 * Creates the error.
	 * @param problems the problems, at least one
	 */
	public IniException(List<Problem> problems) {
		super(PlatformErrorCode.INVALID_CONFIGURATION,
				problems.stream().map(Problem::toString).collect(Collectors.joining(System.lineSeparator())), null);
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns the problems.
	 * @return the problems in the order in which they were reported
	 */
	public List<Problem> problems() {
		return this.problems;
	}

}
