package io.wagtailmux.daemon.endpoint;

import java.io.IOException;

import io.wagtailmux.model.BootId;

/**
 * Thrown before any byte of a call is written if the endpoint's process has restarted
 * since the call was allowed. It is an {@link IOException} because that is what
 * interceptors of the HTTP library can throw.
 *
 * @author the wagtailmux developers
 */
final class BootChangedException extends IOException {

	BootChangedException(BootId expected, BootId actual) {
		super("endpoint has restarted: expected boot id " + expected + ", actual boot id " + actual);
	}

}
