/**
 * HTTP calls to endpoints in the formats of their protocols.
 */
package io.wagtailmux.daemon.endpoint;
