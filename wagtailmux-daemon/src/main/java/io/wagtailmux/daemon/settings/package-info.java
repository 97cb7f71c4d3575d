/**
 * Settings of one instance, read from an INI file and validated as a whole.
 */
package io.wagtailmux.daemon.settings;
