/**
 * The INI format of the system's configuration and the store of accepted configurations.
 */
package io.wagtailmux.store.configuration;
