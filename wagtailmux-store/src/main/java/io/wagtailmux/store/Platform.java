package io.wagtailmux.store;

import io.wagtailmux.store.internal.DynamoTableStore;
import io.wagtailmux.store.internal.HttpInstanceDirectory;
import io.wagtailmux.store.internal.S3ObjectStore;

/**
 * Clients of the platform's services. Their operations block the calling thread and may
 * be called by several threads at the same time.
 *
 * <p>
 * For example,
 * {@code Platform.connect(addresses).table().get(RecordKey.CONFIGURATION_HEAD)}.
 *
 * @param table the transactional table
 * @param objects the object store
 * @param instances the list of instances
 * @author the wagtailmux developers
 */
public record Platform(TableStore table, ObjectStore objects, InstanceDirectory instances) {

	/**
	 * Creates clients of the platform's services without calling them.
	 * @param addresses the services' addresses
	 * @return the clients
	 */
	public static Platform connect(PlatformAddresses addresses) {
		return new Platform(DynamoTableStore.connect(addresses), S3ObjectStore.connect(addresses),
				new HttpInstanceDirectory(addresses));
	}

}
