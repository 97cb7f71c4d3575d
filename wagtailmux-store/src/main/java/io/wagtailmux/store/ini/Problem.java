package io.wagtailmux.store.ini;

/**
 * A problem in an INI text.
 *
 * @param section the section's name
 * @param key the key, or an empty text if the section itself is invalid
 * @param reason the reason, phrased to follow the section's name and the key
 * @author the wagtailmux developers
 */
public record Problem(String section, String key, String reason) {

	@Override
	public String toString() {
		String keyText = this.key.isEmpty() ? "" : " " + this.key;
		return "[" + this.section + "]" + keyText + ": " + this.reason;
	}

}
