/**
 * Claims, which prevent requests with an idempotency key from running twice.
 */
package io.wagtailmux.daemon.claim;
