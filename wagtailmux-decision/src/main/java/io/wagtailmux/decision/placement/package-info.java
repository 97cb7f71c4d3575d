/**
 * Choice of the endpoint for a request or a call, by load, success rate, cached prompt
 * parts and availability zone.
 */
package io.wagtailmux.decision.placement;
