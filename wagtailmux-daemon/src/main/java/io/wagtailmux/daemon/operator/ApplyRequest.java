package io.wagtailmux.daemon.operator;

/**
 * Request of an operator to replace the configuration.
 *
 * @param text the new configuration as INI text
 * @param expectedVersion the version to replace, zero for the first configuration; the
 * request is rejected if another version has been accepted since
 * @param by the name of the operator, recorded in the history
 * @author the wagtailmux developers
 */
public record ApplyRequest(String text, long expectedVersion, String by) {

}
