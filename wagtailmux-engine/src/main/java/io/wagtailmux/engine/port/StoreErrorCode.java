package io.wagtailmux.engine.port;

/**
 * Reason why a call to the store failed.
 *
 * @author the wagtailmux developers
 */
public enum StoreErrorCode {

	/** The store refused the call or was not reached; nothing was changed. */
	REFUSED,

	/** A row does not have the expected version; nothing was changed. */
	CONFLICT,

	/** The store no longer keeps the requested changes; the table must be read again. */
	HISTORY_LOST,

	/** The answer belongs to an earlier era of the store and must not be applied. */
	OUTDATED,

	/**
	 * No answer or an unexpected one arrived; a write may have been applied or may still
	 * be applied later.
	 */
	NO_ANSWER,

	/** The answer cannot be parsed. */
	MALFORMED

}
