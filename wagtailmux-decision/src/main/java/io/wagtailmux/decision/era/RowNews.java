package io.wagtailmux.decision.era;

/**
 * What a row that was read means to an instance that may know earlier contents of it.
 *
 * @author the wagtailmux developers
 */
public enum RowNews {

	/** The same or a later version of the row is known. */
	KNOWN,

	/** The row has changed: its contents are new or have become current again. */
	CHANGED,

	/** After a restore, the row has the contents that were known last. */
	KEPT,

	/** After a restore, the row has contents that had been replaced or removed. */
	PAST

}
