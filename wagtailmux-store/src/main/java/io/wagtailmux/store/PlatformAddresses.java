package io.wagtailmux.store;

import java.net.URI;
import java.time.Duration;

/**
 * Addresses of the platform's services and the timeout of calls to them.
 *
 * @param table base address of the table service
 * @param tableName the table's name
 * @param objects base address of the object store
 * @param bucket the bucket's name
 * @param instances address of the list of instances
 * @param timeout for the table and the object store, the limit on connecting and on each
 * wait for data; for the list of instances, the limit on the whole call
 * @author the wagtailmux developers
 */
public record PlatformAddresses(URI table, String tableName, URI objects, String bucket, URI instances,
		Duration timeout) {

}
