/**
 * State of the traffic thread: the facts published by the control thread, and this
 * instance's own calls to each endpoint.
 */
package io.wagtailmux.engine.state;
