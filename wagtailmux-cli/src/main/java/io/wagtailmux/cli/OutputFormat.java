package io.wagtailmux.cli;

/**
 * Values of the option {@code --output}.
 *
 * @author the wagtailmux developers
 */
public final class OutputFormat {

	/** One JSON value, for programs. */
	public static final String JSON = "json";

	/** Lines of text, for people. */
	public static final String TEXT = "text";

	private OutputFormat() {
	}

}
