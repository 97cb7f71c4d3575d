package io.wagtailmux.model;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Labels of an endpoint, an availability zone or a version, set by an operator.
 *
 * <p>
 * Immutable. Keys and values consist of a letter or digit, then at most 62 letters,
 * digits, dots, underscores or hyphens. Written as {@code key=value, key=value} in the
 * order of the keys.
 *
 * @param values the values by key; copied
 * @author the wagtailmux developers
 */
public record Labels(Map<String, String> values) {

	/** No labels. */
	public static final Labels NONE = new Labels(Map.of());

	/**
	 * Creates labels.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_IDENTIFIER} if a key or a
	 * value is malformed
	 */
	public Labels {
		values.forEach((key, value) -> {
			IdentifierFormat.NAME.check("label key", key);
			IdentifierFormat.NAME.check("label value", value);
		});
		values = Collections.unmodifiableMap(new TreeMap<>(values));
	}

	/**
	 * Parses labels.
	 * @param text {@code key=value} pairs separated by commas; blank for none
	 * @return the labels
	 * @throws ModelException with {@link ModelErrorCode#INVALID_SELECTOR} if a pair is
	 * malformed or a key occurs twice, or with {@link ModelErrorCode#INVALID_IDENTIFIER}
	 * if a key or a value is malformed
	 */
	public static Labels of(String text) {
		Map<String, String> values = new TreeMap<>();
		for (String pair : text.split(",")) {
			if (pair.isBlank()) {
				continue;
			}
			String[] parts = pair.split("=", 2);
			boolean malformed = parts.length != 2;
			if (malformed || values.put(parts[0].trim(), parts[1].trim()) != null) {
				throw new ModelException(ModelErrorCode.INVALID_SELECTOR,
						"label '" + pair.trim() + "' in '" + text + "' is not a key=value pair or repeats a key");
			}
		}
		return new Labels(values);
	}

	/**
	 * Returns the value of a label.
	 * @param key the label's key
	 * @return the value, or empty if there is no such label
	 */
	public Optional<String> value(String key) {
		return Optional.ofNullable(this.values.get(key));
	}

	/**
	 * Returns these labels with others added, which replace labels with the same key.
	 * @param others the labels to add
	 * @return the union, as a new object
	 */
	public Labels with(Labels others) {
		Map<String, String> union = new TreeMap<>(this.values);
		union.putAll(others.values);
		return new Labels(union);
	}

	@Override
	public String toString() {
		return String.join(", ",
				this.values.entrySet().stream().map((entry) -> entry.getKey() + "=" + entry.getValue()).toList());
	}

}
