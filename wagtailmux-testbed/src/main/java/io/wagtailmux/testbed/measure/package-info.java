/**
 * Measurements of latency and resource usage.
 */
package io.wagtailmux.testbed.measure;
