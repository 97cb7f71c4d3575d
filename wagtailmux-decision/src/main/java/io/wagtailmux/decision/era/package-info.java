/**
 * What facts from the store are worth after the store was restored from an older copy.
 * Load pattern: rows that were lost, are back, or are written again under numbers that
 * were used before, read by many instances at different times.
 */
package io.wagtailmux.decision.era;
