/**
 * How many endpoints pools should have: demand as instances tell it, and the orders that
 * follow from it. No input or output, no clock.
 */
package io.wagtailmux.decision.capacity;
