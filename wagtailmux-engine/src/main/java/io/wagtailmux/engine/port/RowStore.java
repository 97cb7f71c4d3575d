package io.wagtailmux.engine.port;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.wagtailmux.model.StoreVersion;

/**
 * Client of the durable store. Its methods may be called on any thread and return at
 * once; the futures complete on the traffic thread and fail with {@link StoreException}.
 *
 * @author the wagtailmux developers
 */
public interface RowStore {

	/**
	 * Reads a page of rows of a table.
	 * @param table the name of the table
	 * @param from the first key to return, inclusive; empty to start at the first row
	 * @return the rows in the order of their keys; if the page is not the last, the next
	 * one starts at the first key after the last one of this page
	 */
	CompletableFuture<RowPage> read(String table, String from);

	/**
	 * Waits for changes of a table, including deletions. Fails with
	 * {@link StoreErrorCode#HISTORY_LOST} if the store no longer keeps all changes after
	 * the version.
	 * @param table the name of the table
	 * @param after the version up to which changes are known already
	 * @param wait how long the store waits if there are no changes
	 * @return the changes; an empty page if none were made within that time
	 */
	CompletableFuture<RowPage> changes(String table, StoreVersion after, Duration wait);

	/**
	 * Writes a row if it has the expected version. Fails with
	 * {@link StoreErrorCode#CONFLICT} otherwise, also if the version is of an earlier era
	 * of the store, and with {@link StoreErrorCode#NO_ANSWER} if the store was restored
	 * while the call was in progress.
	 * @param table the name of the table
	 * @param key the key of the row
	 * @param value the value of the row
	 * @param expectedVersion the version that the row must have;
	 * {@link StoreVersion#NONE} if it must not exist
	 * @return the new version of the row
	 */
	CompletableFuture<StoreVersion> write(String table, String key, byte[] value, StoreVersion expectedVersion);

	/**
	 * Deletes a row if it has the expected version. Fails with
	 * {@link StoreErrorCode#CONFLICT} otherwise.
	 * @param table the name of the table
	 * @param key the key of the row
	 * @param expectedVersion the version that the row must have
	 * @return the new version of the store
	 */
	CompletableFuture<StoreVersion> remove(String table, String key, StoreVersion expectedVersion);

	/**
	 * Sets the receiver of the store's steady clock; there is none unless set.
	 * @param listener receives the clock from each answer that states it
	 */
	void onStoreTime(StoreTimeListener listener);

}
