/**
 * The control state of an instance: configuration, slot leases, shares and peers. One
 * control thread owns it and publishes it to traffic threads as immutable snapshots.
 */
package io.wagtailmux.daemon.control;
