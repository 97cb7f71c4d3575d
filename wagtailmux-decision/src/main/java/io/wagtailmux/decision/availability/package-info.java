/**
 * Whether an endpoint wants requests from this instance, by what it says in its answers.
 */
package io.wagtailmux.decision.availability;
