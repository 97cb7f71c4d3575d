/**
 * Deployments of instances and stand-ins on the loopback interface, and their callers.
 */
package io.wagtailmux.testbed.deployment;
