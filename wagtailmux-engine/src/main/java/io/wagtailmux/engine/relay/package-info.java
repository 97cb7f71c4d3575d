/**
 * Connections to endpoints through another instance, for an instance whose own links to
 * the endpoints have failed.
 */
package io.wagtailmux.engine.relay;
