/**
 * Queueing of pieces of stage work and their grouping into calls.
 */
package io.wagtailmux.decision.stage;
