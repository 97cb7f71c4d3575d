package io.wagtailmux.engine.port;

/**
 * Kind of error in a message or row.
 *
 * @author the wagtailmux developers
 */
public enum ProtocolErrorCode {

	/** A required field is missing. */
	MISSING_FIELD,

	/** The value of a field is malformed. */
	MALFORMED_FIELD,

	/** The body cannot be parsed. */
	MALFORMED_BODY

}
