package io.wagtailmux.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Label selector, in the syntax of Kubernetes label selectors.
 *
 * <p>
 * A selector is a list of requirements, all of which must be met: {@code key=value},
 * {@code key!=value}, {@code key in (a,b)}, {@code key notin (a,b)}, {@code key} (exists)
 * and {@code !key} (does not exist). {@code !=} and {@code notin} also match objects
 * without the key; {@code ==} is the same as {@code =}. The empty selector matches every
 * object. For example, {@code version=v2,tier in (gold,silver)}.
 *
 * <p>
 * Immutable. Selectors are equal if they have equal requirements in the same order.
 *
 * @author the wagtailmux developers
 */
public final class Selector {

	/** Matches every object. */
	public static final Selector EVERYTHING = new Selector("", List.of());

	/** A comma that is not inside parentheses. */
	private static final Pattern SEPARATOR = Pattern.compile(",(?![^(]*\\))");

	private static final String NAME = "([A-Za-z0-9][A-Za-z0-9._-]{0,62})";

	private final String text;

	private final List<Requirement> requirements;

	private Selector(String text, List<Requirement> requirements) {
		this.text = text;
		this.requirements = List.copyOf(requirements);
	}

	/**
	 * Parses a selector.
	 * @param text the requirements, separated by commas; a blank text matches every
	 * object
	 * @return the selector
	 * @throws ModelException with {@link ModelErrorCode#INVALID_SELECTOR} if a
	 * requirement is malformed; the message contains the requirement and the whole text
	 */
	public static Selector of(String text) {
		if (text.isBlank()) {
			return EVERYTHING;
		}
		List<Requirement> requirements = new ArrayList<>();
		for (String term : SEPARATOR.split(text, -1)) {
			requirements.add(Requirement.of(term.trim(), text));
		}
		return new Selector(text.trim(), requirements);
	}

	/**
	 * Returns whether labels meet every requirement.
	 * @param labels the labels of an object
	 * @return whether the selector matches the object
	 */
	public boolean matches(Labels labels) {
		return this.requirements.stream().allMatch((requirement) -> requirement.holds(labels));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Selector selector && this.requirements.equals(selector.requirements);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.requirements);
	}

	@Override
	public String toString() {
		return this.text;
	}

	private enum Operator {

		IN(Pattern.compile(NAME + "\\s+in\\s+\\(([^()]*)\\)")) {
			@Override
			boolean holds(String value, Set<String> values) {
				return value != null && values.contains(value);
			}
		},

		NOT_IN(Pattern.compile(NAME + "\\s+notin\\s+\\(([^()]*)\\)")) {
			@Override
			boolean holds(String value, Set<String> values) {
				return value == null || !values.contains(value);
			}
		},

		NOT_EQUAL(Pattern.compile(NAME + "\\s*!=\\s*" + NAME)) {
			@Override
			boolean holds(String value, Set<String> values) {
				return NOT_IN.holds(value, values);
			}
		},

		EQUAL(Pattern.compile(NAME + "\\s*==?\\s*" + NAME)) {
			@Override
			boolean holds(String value, Set<String> values) {
				return IN.holds(value, values);
			}
		},

		EXISTS(Pattern.compile(NAME)) {
			@Override
			boolean holds(String value, Set<String> values) {
				return value != null;
			}
		},

		MISSING(Pattern.compile("!\\s*" + NAME)) {
			@Override
			boolean holds(String value, Set<String> values) {
				return value == null;
			}
		};

		private final Pattern pattern;

		Operator(Pattern pattern) {
			this.pattern = pattern;
		}

		abstract boolean holds(String value, Set<String> values);

	}

	private record Requirement(String key, Operator operator, Set<String> values) {

		static Requirement of(String term, String selector) {
			for (Operator operator : Operator.values()) {
				Matcher matcher = operator.pattern.matcher(term);
				if (matcher.matches()) {
					return new Requirement(matcher.group(1), operator, valuesOf(matcher));
				}
			}
			throw new ModelException(ModelErrorCode.INVALID_SELECTOR,
					"requirement '" + term + "' in selector '" + selector + "' is malformed");
		}

		private static Set<String> valuesOf(Matcher matcher) {
			Set<String> values = new TreeSet<>();
			if (matcher.groupCount() > 1) {
				Arrays.stream(matcher.group(2).split(",")).map(String::trim).forEach(values::add);
			}
			return values;
		}

		boolean holds(Labels labels) {
			return this.operator.holds(labels.value(this.key).orElse(null), this.values);
		}

	}

}
