package io.wagtailmux.decision.lease;

/**
 * A lease record as read from the table.
 *
 * @param slot the number of the slot, from zero
 * @param version the version of the record; zero if the table has none for this slot
 * @param value the value of the record
 * @author the wagtailmux developers
 */
public record LeaseRecord(int slot, long version, LeaseValue value) {

}
