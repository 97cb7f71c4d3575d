/**
 * Policies that choose one of the endpoints that can receive a call.
 */
package io.wagtailmux.decision.choice;
