/**
 * The {@code wagtailmuxd} binary, which runs one entry instance, and the assembly of the
 * instance from its parts.
 */
package io.wagtailmux.daemon;
