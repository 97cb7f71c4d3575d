package io.wagtailmux.decision.duty;

import io.wagtailmux.model.StoreVersion;

/**
 * Report that is written down in the store.
 *
 * @param report the report
 * @param version the version of its row
 * @author the wagtailmux developers
 */
public record FixedReport(UsageReport report, StoreVersion version) {

}
