/**
 * The traffic thread and the control thread, and what becomes of errors on them that
 * nothing else handles.
 */
package io.wagtailmux.engine.thread;
