/**
 * Schedule of the heartbeats between instances, and the time after which a silent one
 * counts as failed.
 */
package io.wagtailmux.decision.membership;
