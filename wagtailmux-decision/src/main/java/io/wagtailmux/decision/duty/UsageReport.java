package io.wagtailmux.decision.duty;

import java.util.Map;

import io.wagtailmux.model.OrganisationId;

/**
 * Report on one window, which is the same whenever it is sent.
 *
 * @param window the number of the window
 * @param counts the requests that endpoints began to run in it, by organisation
 * @author the wagtailmux developers
 */
public record UsageReport(long window, Map<OrganisationId, Long> counts) {

	/**
	 * Creates the report.
	 */
	public UsageReport {
		counts = Map.copyOf(counts);
	}

}
