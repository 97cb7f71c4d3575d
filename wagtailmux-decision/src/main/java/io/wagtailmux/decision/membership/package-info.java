/**
 * Which other instances an instance asks whether they are there, and how soon.
 */
package io.wagtailmux.decision.membership;
