package io.wagtailmux.store.configuration;

/**
 * Metadata of an accepted configuration, stored in the table as JSON.
 *
 * @param version the version, increased by one with each accepted change
 * @param objectName the name of the object that contains the INI text
 * @param acceptedBy the operator who requested the change
 * @param acceptedAt the time of the change as an ISO-8601 instant
 * @param token the token of the transaction that wrote this head, by which the writer
 * recognises its own commit
 * @author the wagtailmux developers
 */
public record ConfigurationHead(long version, String objectName, String acceptedBy, String acceptedAt, String token) {

}
