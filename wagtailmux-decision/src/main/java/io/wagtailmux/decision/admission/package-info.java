/**
 * Admission control: decides whether a request is accepted, before any work is done for
 * it.
 */
package io.wagtailmux.decision.admission;
