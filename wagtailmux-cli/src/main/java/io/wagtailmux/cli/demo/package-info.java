/**
 * The command {@code demo}, which runs a deployment in one process.
 */
package io.wagtailmux.cli.demo;
