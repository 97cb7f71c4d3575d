/**
 * HTTP interface for operators.
 */
package io.wagtailmux.daemon.operator;
