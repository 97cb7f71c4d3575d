/**
 * Runs requests through the stages of their pipelines: queues, assignments, calls,
 * retries and their metrics.
 */
package io.wagtailmux.daemon.traffic;
