package io.wagtailmux.daemon.operator;

/**
 * Configuration in the form in which operators read and write it.
 *
 * @param version its version; zero if there is no configuration yet
 * @param text the INI text that was accepted
 * @author the wagtailmux developers
 */
public record ConfigurationText(long version, String text) {

}
