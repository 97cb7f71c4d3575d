/**
 * Execution of the duties that one instance performs for all: the lease, reports of usage
 * and orders for capacity. Confined to the control thread unless stated otherwise.
 */
package io.wagtailmux.engine.duty;
