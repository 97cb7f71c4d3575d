/**
 * The decisions of wagtailmux, without input or output: they are functions of given facts
 * and the current time and return typed results with a reason. Nothing here opens a
 * socket, starts a thread, reads a clock or uses an unseeded source of random numbers.
 */
package io.wagtailmux.decision;
