/**
 * Rollout of a new version of a pool's endpoints: the fraction of requests that it gets,
 * the detection of a bad version, and the end of the rollout.
 */
package io.wagtailmux.decision.rollout;
