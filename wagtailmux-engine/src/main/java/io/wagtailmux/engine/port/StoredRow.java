package io.wagtailmux.engine.port;

import io.wagtailmux.model.StoreVersion;

/**
 * One row of the store, or its deletion.
 *
 * @param key the key of the row
 * @param value the value of the row; an empty array if it is deleted
 * @param version the version of the store at the last change of this row, in the era of
 * the answer that contained it
 * @param deleted whether the row was deleted
 * @author the wagtailmux developers
 */
public record StoredRow(String key, byte[] value, StoreVersion version, boolean deleted) {

}
