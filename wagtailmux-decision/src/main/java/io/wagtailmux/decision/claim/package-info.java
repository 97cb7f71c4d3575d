/**
 * Claims on idempotency keys, which prevent that a request that is not idempotent runs
 * twice.
 */
package io.wagtailmux.decision.claim;
