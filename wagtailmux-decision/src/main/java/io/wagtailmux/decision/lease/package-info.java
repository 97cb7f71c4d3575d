/**
 * Leases on slots that are divided among the instances. Expiry is decided on each
 * instance's monotonic clock only.
 */
package io.wagtailmux.decision.lease;
