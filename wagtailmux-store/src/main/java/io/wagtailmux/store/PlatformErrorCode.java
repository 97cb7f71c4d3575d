package io.wagtailmux.store;

/**
 * Error codes of {@link PlatformException}.
 *
 * @author the wagtailmux developers
 */
public enum PlatformErrorCode {

	/** The platform refused the request or was not reached: nothing was written. */
	UNAVAILABLE,

	/** No usable answer arrived: a write may have taken effect. */
	UNKNOWN_OUTCOME,

	/** The platform's answer does not follow its published format. */
	MALFORMED_ANSWER,

	/**
	 * An INI text is malformed or fails validation, or its digest cannot be computed
	 * because the Java runtime lacks SHA-256.
	 */
	INVALID_CONFIGURATION

}
