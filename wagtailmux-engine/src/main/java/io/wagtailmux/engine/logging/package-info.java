/**
 * Logging that never blocks the traffic thread.
 */
package io.wagtailmux.engine.logging;
