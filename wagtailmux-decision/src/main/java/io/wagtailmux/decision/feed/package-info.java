/**
 * How long calls wait for changes in the store.
 */
package io.wagtailmux.decision.feed;
