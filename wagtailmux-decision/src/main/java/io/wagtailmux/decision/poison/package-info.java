/**
 * Detection of prompt parts that crash the endpoints that answer them, and refusal of the
 * requests that contain them. Load pattern: requests with such a part arrive at any
 * instance, among many sound requests that share their other parts, while endpoints may
 * also end for other reasons.
 */
package io.wagtailmux.decision.poison;
