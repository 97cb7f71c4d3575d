/**
 * Whether this instance reaches the endpoints over its own links, and through which other
 * instance it reaches them if not.
 */
package io.wagtailmux.decision.reach;
