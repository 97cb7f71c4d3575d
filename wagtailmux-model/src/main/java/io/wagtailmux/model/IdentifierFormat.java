package io.wagtailmux.model;

import java.util.regex.Pattern;

/**
 * Formats of the text of identifiers.
 *
 * @author the wagtailmux developers
 */
enum IdentifierFormat {

	/**
	 * A name that is safe in paths, metric labels and table keys; at most 63 characters.
	 */
	NAME("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"),

	/** Text chosen by a remote peer: 1 to 255 printable ASCII characters, no spaces. */
	VISIBLE_ASCII("[\\x21-\\x7e]{1,255}");

	private final Pattern pattern;

	IdentifierFormat(String expression) {
		this.pattern = Pattern.compile(expression);
	}

	/**
	 * Checks that a text has this format.
	 * @param type the name of the checked type or field, for the error message
	 * @param value the text; null is rejected
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if the text
	 * does not have this format
	 */
	void check(String type, String value) {
		if (value == null || !this.pattern.matcher(value).matches()) {
			throw new ModelException(ModelErrorCode.INVALID_IDENTIFIER,
					type + ": '" + value + "' does not match " + this.pattern);
		}
	}

}
