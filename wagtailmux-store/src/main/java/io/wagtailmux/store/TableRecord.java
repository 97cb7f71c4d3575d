package io.wagtailmux.store;

/**
 * A record of the platform's table.
 *
 * @param key the record's key
 * @param version one after the first write, increased by one with each further write
 * @param value the JSON text
 * @author the wagtailmux developers
 */
public record TableRecord(RecordKey key, long version, String value) {

}
