package io.wagtailmux.daemon.settings;

/**
 * Formats of log lines.
 *
 * @author the wagtailmux developers
 */
public enum LogFormat {

	/** One JSON object per line, for log processors. */
	JSON,

	/** Plain text for human readers. */
	TEXT

}
