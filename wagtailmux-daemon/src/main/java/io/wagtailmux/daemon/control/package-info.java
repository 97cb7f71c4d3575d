/**
 * The control state of an instance: configuration, slot leases, shares and peers. One
 * control thread owns it and publishes it to traffic threads as immutable snapshots.
 *
 * <p>
 * Each endpoint is mapped to one of a fixed number of slots. The instance that holds the
 * lease of the slot is the limiter of the endpoint: it keeps the endpoint's ledger and
 * divides the calls that the endpoint may have in flight among the instances. The share
 * of an instance is its floor, which depends on the slots that it holds and needs no
 * grant, plus the grant of the limiter, which expires. The floor applies only once the
 * incarnation of the endpoint is proven to sustain its warm limit.
 */
package io.wagtailmux.daemon.control;
