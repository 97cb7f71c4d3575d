package io.wagtailmux.store.configuration;

import io.wagtailmux.model.SystemConfiguration;

/**
 * An accepted configuration with its version.
 *
 * @param version the version; zero for {@link #NONE}
 * @param text the INI text as accepted
 * @param configuration the configuration read from the text
 * @author the wagtailmux developers
 */
public record AcceptedConfiguration(long version, String text, SystemConfiguration configuration) {

	/** The empty configuration that applies until the first one is accepted. */
	public static final AcceptedConfiguration NONE = new AcceptedConfiguration(0, "", SystemConfiguration.EMPTY);

	/**
	 * Reads an accepted configuration from its text.
	 * @param version the version
	 * @param text the INI text
	 * @return the configuration
	 * @throws io.wagtailmux.store.ini.IniException if the text is not a valid
	 * configuration
	 */
	public static AcceptedConfiguration of(long version, String text) {
		return new AcceptedConfiguration(version, text, ConfigurationFormat.read(text));
	}

}
