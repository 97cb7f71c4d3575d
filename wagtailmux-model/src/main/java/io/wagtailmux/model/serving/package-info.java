/**
 * Configuration of the traffic that is forwarded to endpoints: routes, pools and API keys
 * of organisations, and the endpoints found in the registry.
 */
package io.wagtailmux.model.serving;
