/**
 * Duties that one instance performs for all: who holds them, for how long it may act, and
 * what it reports and orders. No input or output, no clock.
 */
package io.wagtailmux.decision.duty;
