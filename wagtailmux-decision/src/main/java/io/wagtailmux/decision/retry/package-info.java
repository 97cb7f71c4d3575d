/**
 * Retry policy and retry budget for failed attempts of a stage.
 */
package io.wagtailmux.decision.retry;
