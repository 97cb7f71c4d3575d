/**
 * A TCP proxy that injects faults into a network link.
 */
package io.wagtailmux.testbed.fault;
