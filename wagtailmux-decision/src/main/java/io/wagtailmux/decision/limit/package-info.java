/**
 * Limits on the calls that all instances together have in flight at an endpoint.
 */
package io.wagtailmux.decision.limit;
