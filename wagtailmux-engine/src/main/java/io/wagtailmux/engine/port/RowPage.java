package io.wagtailmux.engine.port;

import java.util.List;

import io.wagtailmux.model.StoreVersion;

/**
 * Page of rows or changes, consistent with one version of the store.
 *
 * @param rows the rows in the order of their keys, or the changes in the order in which
 * they were made
 * @param version the version of the store that the page reflects
 * @param more whether another page follows
 * @author the wagtailmux developers
 */
public record RowPage(List<StoredRow> rows, StoreVersion version, boolean more) {

	/**
	 * Creates the page.
	 */
	public RowPage {
		rows = List.copyOf(rows);
	}

}
