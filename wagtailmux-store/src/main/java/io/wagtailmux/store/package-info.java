/**
 * Interfaces to the platform's services, which are a transactional table, an object store
 * and a list of instances, and clients for their published protocols.
 */
package io.wagtailmux.store;
