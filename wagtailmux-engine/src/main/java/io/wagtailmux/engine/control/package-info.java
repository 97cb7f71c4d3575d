/**
 * State of the control thread: facts read from the store, the instances that are alive,
 * rollouts, and the views published for the traffic thread.
 */
package io.wagtailmux.engine.control;
