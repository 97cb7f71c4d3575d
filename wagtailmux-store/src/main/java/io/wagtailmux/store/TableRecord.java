package io.wagtailmux.store;

/**
 * A record of the platform's table.
 *
 * @param key the record's key
 * @param version the version: 1 for the first write, increased by 1 with each further one
 * @param value the JSON text
 * @author the wagtailmux developers
 */
public record TableRecord(RecordKey key, long version, String value) {

}
