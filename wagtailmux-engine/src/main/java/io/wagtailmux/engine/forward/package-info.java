/**
 * Request of a caller from admission to the end of its response: routing, stages, calls
 * to endpoints and retries.
 */
package io.wagtailmux.engine.forward;
