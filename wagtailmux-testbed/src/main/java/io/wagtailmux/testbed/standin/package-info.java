/**
 * Stand-ins of the systems that wagtailmux calls: endpoints and the services of the
 * platform.
 */
package io.wagtailmux.testbed.standin;
