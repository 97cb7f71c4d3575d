package io.wagtailmux.engine.port;

/**
 * One row of the store, or its deletion.
 *
 * @param key the key of the row
 * @param value the value of the row; an empty array if it is deleted
 * @param version the version of the store at the last change of this row; it increases
 * with each change of any row
 * @param deleted whether the row was deleted
 * @author the wagtailmux developers
 */
public record StoredRow(String key, byte[] value, long version, boolean deleted) {

}
