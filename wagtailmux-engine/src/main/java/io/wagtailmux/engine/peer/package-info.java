/**
 * Calls between instances: execution of pieces by the instance that owns their pool,
 * release of results, and heartbeats.
 */
package io.wagtailmux.engine.peer;
