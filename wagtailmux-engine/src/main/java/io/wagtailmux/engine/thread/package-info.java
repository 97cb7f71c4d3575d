/**
 * The traffic thread, and what becomes of errors on it that nothing else handles.
 */
package io.wagtailmux.engine.thread;
