/**
 * Immutable value types: identifiers and the objects of the configuration, which are
 * availability zones, links, pools, endpoints, pipelines and organisations. Nothing in
 * this package does input or output.
 */
package io.wagtailmux.model;
