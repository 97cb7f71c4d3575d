/**
 * HTTP connections of callers with their size limits and timeouts, and the handlers for
 * readiness probes and metrics.
 */
package io.wagtailmux.engine.front;
