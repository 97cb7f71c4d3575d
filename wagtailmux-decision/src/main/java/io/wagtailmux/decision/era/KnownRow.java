package io.wagtailmux.decision.era;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.wagtailmux.model.StoreVersion;

/**
 * What an instance knows of one row.
 *
 * @param key the key of the row
 * @param current the contents in force; empty if the row was removed
 * @param earlier contents that were replaced or removed, the last one first
 * @param number the version number in the current era; zero if the row has not been read
 * or changed in it
 * @param first the version under which the contents in force were first read
 * @author the wagtailmux developers
 */
public record KnownRow(String key, Optional<RowContent> current, List<RowContent> earlier, long number,
		StoreVersion first) {

	/** Bounds the memory that a row takes that changes often. */
	private static final int MAXIMUM_EARLIER = 8;

	/**
	 * Creates the row.
	 */
	public KnownRow {
		earlier = List.copyOf(earlier);
	}

	KnownRow unread() {
		return new KnownRow(this.key, this.current, this.earlier, 0, this.first);
	}

	KnownRow readAs(long number) {
		return new KnownRow(this.key, this.current, this.earlier, number, this.first);
	}

	KnownRow keptAs(long number) {
		return new KnownRow(this.key, this.current.map((content) -> content.withNumber(number)), this.earlier, number,
				this.first);
	}

	KnownRow firstReadAs(StoreVersion version) {
		return new KnownRow(this.key, this.current, this.earlier, this.number, version);
	}

	KnownRow replacedBy(Optional<RowContent> next, StoreVersion version) {
		List<RowContent> replaced = new ArrayList<>(this.earlier);
		this.current.ifPresent((content) -> replaced.add(0, content));
		return new KnownRow(this.key, next, replaced.subList(0, Math.min(replaced.size(), MAXIMUM_EARLIER)),
				version.number(), version);
	}

	boolean wasEarlier(byte[] value, long number) {
		return this.earlier.stream().anyMatch((content) -> content.matches(value, number));
	}

}
