/**
 * How a pool's requests move to a new version of its endpoints: how many it gets, when it
 * counts as bad, when the move is over.
 */
package io.wagtailmux.decision.rollout;
