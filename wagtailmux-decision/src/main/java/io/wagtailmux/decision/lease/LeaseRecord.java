package io.wagtailmux.decision.lease;

/**
 * A lease's record as it was read.
 *
 * @param slot the slot's number
 * @param version the record's version
 * @param value the record's value
 * @author the wagtailmux developers
 */
public record LeaseRecord(int slot, long version, LeaseValue value) {

}
