package io.wagtailmux.store.internal;

import java.net.ConnectException;

import io.wagtailmux.store.PlatformErrorCode;

/**
 * Distinguishes calls that never reached the platform from calls with an unknown outcome.
 *
 * @author the wagtailmux developers
 */
final class ConnectFailures {

	private ConnectFailures() {
	}

	/**
	 * Returns the error code for a failed call.
	 * @param failure the exception of the HTTP client, possibly wrapped
	 * @return {@link PlatformErrorCode#UNAVAILABLE} if a {@link ConnectException} shows
	 * that no connection was established, else {@link PlatformErrorCode#UNKNOWN_OUTCOME}
	 */
	static PlatformErrorCode codeOf(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof ConnectException) {
				return PlatformErrorCode.UNAVAILABLE;
			}
		}
		return PlatformErrorCode.UNKNOWN_OUTCOME;
	}

}
