/**
 * HTTP interface for callers.
 */
package io.wagtailmux.daemon.caller;
