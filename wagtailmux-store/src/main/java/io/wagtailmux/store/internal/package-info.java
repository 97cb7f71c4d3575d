/**
 * Clients of the platform's services over their published protocols.
 */
package io.wagtailmux.store.internal;
