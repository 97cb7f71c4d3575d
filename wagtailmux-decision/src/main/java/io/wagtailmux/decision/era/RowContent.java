package io.wagtailmux.decision.era;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * Value that a row had, and the version numbers that it had with this value. A copy of
 * the store contains a row under one of these numbers; the same value written later has
 * another one.
 *
 * @param value the value; not to be modified
 * @param numbers the version numbers, of any era; copied
 * @author the wagtailmux developers
 */
public record RowContent(byte[] value, Set<Long> numbers) {

	/**
	 * Creates the content.
	 */
	public RowContent {
		numbers = Set.copyOf(numbers);
	}

	boolean hasValue(byte[] other) {
		return Arrays.equals(this.value, other);
	}

	boolean matches(byte[] other, long number) {
		return this.numbers.contains(number) && hasValue(other);
	}

	RowContent withNumber(long number) {
		Set<Long> all = new HashSet<>(this.numbers);
		all.add(number);
		return new RowContent(this.value, all);
	}

}
