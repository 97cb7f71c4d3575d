package io.wagtailmux.model;

/**
 * Error codes of {@link ModelException}.
 *
 * @author the wagtailmux developers
 */
public enum ModelErrorCode {

	/** A text is not a valid identifier, label key or label value. */
	INVALID_IDENTIFIER,

	/** A list of labels or a selector cannot be parsed, or a label key occurs twice. */
	INVALID_SELECTOR,

	/** A property of an object is outside its range or has the wrong format. */
	INVALID_VALUE

}
