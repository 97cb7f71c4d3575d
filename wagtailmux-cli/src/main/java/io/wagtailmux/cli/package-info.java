/**
 * Command-line interface for operators: the {@code wagtailmux} binary.
 */
package io.wagtailmux.cli;
