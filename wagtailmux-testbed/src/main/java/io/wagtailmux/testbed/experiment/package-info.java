/**
 * Scenarios of load and faults that run against instances and stand-ins for the platform
 * and the endpoints, under different policies.
 */
package io.wagtailmux.testbed.experiment;
