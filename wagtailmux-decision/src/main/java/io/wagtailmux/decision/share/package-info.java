/**
 * This instance's share of limits that apply to all instances together: the request rate
 * of cold endpoints, the limits that endpoints name and the retry budget of pools.
 */
package io.wagtailmux.decision.share;
