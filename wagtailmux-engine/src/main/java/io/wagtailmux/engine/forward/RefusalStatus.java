package io.wagtailmux.engine.forward;

import java.util.Set;

/**
 * HTTP statuses that tell a caller that its request was not executed. They may be sent to
 * a caller only when that is known.
 *
 * @author the wagtailmux developers
 */
final class RefusalStatus {

	private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

	private RefusalStatus() {
	}

	static boolean isRefusal(int status) {
		return REFUSALS.contains(status);
	}

}
