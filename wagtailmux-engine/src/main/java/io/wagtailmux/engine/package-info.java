/**
 * The traffic engine: accepts callers' requests, runs their stages, forwards the requests
 * to endpoints and streams the answers back.
 */
package io.wagtailmux.engine;
