/**
 * Claims on idempotency keys, which prevent a request that is not idempotent from running
 * twice.
 */
package io.wagtailmux.decision.claim;
