/**
 * Generated messages of the peer exchange.
 */
package io.wagtailmux.peer.wire;
