package io.wagtailmux.daemon.endpoint;

import java.io.IOException;

import io.wagtailmux.model.BootId;

/**
 * Raised before anything of a call is written if the endpoint was restarted since the
 * call was allowed. An {@link IOException}, because that is what the HTTP library passes
 * on.
 *
 * @author the wagtailmux developers
 */
final class BootChangedException extends IOException {

	BootChangedException(BootId expected, BootId actual) {
		super("the endpoint was restarted: allowed for boot " + expected + ", found boot " + actual);
	}

}
