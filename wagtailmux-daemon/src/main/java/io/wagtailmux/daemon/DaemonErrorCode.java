package io.wagtailmux.daemon;

/**
 * Codes of the errors that keep an instance from starting.
 *
 * @author the wagtailmux developers
 */
public enum DaemonErrorCode {

	/** The settings file cannot be read. */
	UNREADABLE_SETTINGS,

	/** The settings file was read but its content is not valid. */
	INVALID_SETTINGS,

	/** A port cannot be bound, for example because it is already in use. */
	CANNOT_LISTEN

}
