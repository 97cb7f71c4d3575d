/**
 * Interfaces between the engine and the formats of callers, endpoints and the store, with
 * their value types. Implementations only translate formats and make no decisions.
 */
package io.wagtailmux.engine.port;
