/**
 * Queues in which requests wait for a pool.
 */
package io.wagtailmux.decision.queue;
