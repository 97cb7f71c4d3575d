/**
 * Reads INI files with validation. All problems are collected, each with its section, key
 * and reason.
 */
package io.wagtailmux.store.ini;
