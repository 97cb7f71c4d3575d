/**
 * Duties that one instance performs for all, and which instance holds each of them.
 */
package io.wagtailmux.decision.ownership;
