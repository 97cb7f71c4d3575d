/**
 * An open-loop load generator that checks the responses.
 */
package io.wagtailmux.testbed.load;
