/**
 * Estimates of service times, and the timeouts of stages derived from them.
 */
package io.wagtailmux.decision.estimate;
