package io.wagtailmux.decision.duty;

import io.wagtailmux.model.StoreVersion;

/**
 * What the holder does next about reports of usage.
 *
 * @author the wagtailmux developers
 */
public sealed interface UsageStep {

	/**
	 * Nothing for now.
	 */
	record Wait() implements UsageStep {

	}

	/**
	 * Read the rows of the reports that are fixed.
	 */
	record Read() implements UsageStep {

	}

	/**
	 * Write a report to its row, so that all holders send the same.
	 *
	 * @param report the report
	 * @param expected the version that the row must have
	 */
	record Fix(UsageReport report, StoreVersion expected) implements UsageStep {

	}

	/**
	 * Send a report that is fixed.
	 *
	 * @param report the report
	 */
	record Send(UsageReport report) implements UsageStep {

	}

}
