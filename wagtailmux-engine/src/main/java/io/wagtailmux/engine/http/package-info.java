/**
 * HTTP client for endpoints, peers and the store, with persistent connections, timeouts
 * and streamed responses. All of it runs on one event loop.
 */
package io.wagtailmux.engine.http;
