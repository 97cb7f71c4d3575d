package io.wagtailmux.decision.era;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.wagtailmux.model.StoreVersion;

/**
 * Rows of one table as an instance knows them, across restores of the store. Not
 * thread-safe.
 *
 * <p>
 * Within an era, version numbers tell which contents are newer. When an era begins, all
 * numbers lose their meaning: rows are read anew and told apart by contents. Contents
 * that an instance knows as replaced or removed, under a number that they had, come from
 * the copy. All other contents are newer than what is known. Rows that the restored store
 * lacks are kept until they are changed or removed in the new era.
 *
 * @author the wagtailmux developers
 */
public final class RowHistory {

	/** Number of removed rows that are remembered. */
	private static final int MAXIMUM_REMOVED = 512;

	private final Map<String, KnownRow> rows = new LinkedHashMap<>();

	private boolean reconciling;

	/**
	 * Begins an era: the numbers of all rows lose their meaning.
	 */
	public void beginEra() {
		this.reconciling = true;
		this.rows.replaceAll((key, row) -> row.unread());
	}

	/**
	 * Applies a row that was read or has changed.
	 * @param key the key
	 * @param value the value
	 * @param version the version in the current era
	 * @return what it means; the caller has to act on all but {@link RowNews#KNOWN}
	 */
	public RowNews apply(String key, byte[] value, StoreVersion version) {
		KnownRow known = this.rows.get(key);
		long number = version.number();
		RowContent content = new RowContent(value, Set.of(number));
		if (known == null) {
			this.rows.put(key, new KnownRow(key, Optional.of(content), List.of(), number, version));
			return RowNews.CHANGED;
		}
		if (number <= known.number()) {
			return RowNews.KNOWN;
		}
		if (this.reconciling && known.number() == 0) {
			if (known.current().filter((current) -> current.hasValue(value)).isPresent()) {
				this.rows.put(key, known.keptAs(number));
				return RowNews.KEPT;
			}
			if (known.wasEarlier(value, number)) {
				this.rows.put(key, known.readAs(number));
				return RowNews.PAST;
			}
		}
		replace(known.replacedBy(Optional.of(content), version));
		return RowNews.CHANGED;
	}

	/**
	 * Applies the removal of a row.
	 * @param key the key
	 * @param version the version of the removal in the current era
	 * @return {@link RowNews#CHANGED}, or {@link RowNews#KNOWN} if a later version is
	 * known
	 */
	public RowNews applyRemoval(String key, StoreVersion version) {
		KnownRow known = this.rows.getOrDefault(key, new KnownRow(key, Optional.empty(), List.of(), 0, version));
		if (version.number() <= known.number()) {
			return RowNews.KNOWN;
		}
		remove(known, version);
		return RowNews.CHANGED;
	}

	/**
	 * Notes that the caller no longer regards a row as in force, although the store did
	 * not report its removal.
	 * @param key the key
	 */
	public void drop(String key) {
		KnownRow known = this.rows.get(key);
		if (known != null) {
			remove(known, new StoreVersion(known.first().era(), known.number()));
		}
	}

	/**
	 * Ends the read of the whole table.
	 * @param seen the keys that were read
	 * @param version the version of the store that the read reflects
	 * @return the known rows that the table lacks
	 */
	public MissingRows endRead(Set<String> seen, StoreVersion version) {
		boolean firstOfEra = this.reconciling;
		this.reconciling = false;
		List<String> removed = new ArrayList<>();
		List<String> lacking = new ArrayList<>();
		for (KnownRow row : List.copyOf(this.rows.values())) {
			if (row.current().isEmpty() || seen.contains(row.key())) {
				continue;
			}
			if (row.number() == 0) {
				if (firstOfEra) {
					lacking.add(row.key());
				}
			}
			else if (row.number() <= version.number()) {
				remove(row, version);
				removed.add(row.key());
			}
		}
		return new MissingRows(removed, lacking);
	}

	/**
	 * Notes that a row repeats contents that were in force before.
	 * @param key the key
	 * @param first the version under which these contents were first read
	 */
	public void markRepeated(String key, StoreVersion first) {
		this.rows.computeIfPresent(key, (ignored, row) -> row.firstReadAs(first));
	}

	/**
	 * Adopts the rows that another instance knows, before the first read.
	 * @param known the rows, with the numbers of the other instance's era
	 */
	public void adopt(Collection<KnownRow> known) {
		known.forEach((row) -> this.rows.put(row.key(), row));
	}

	/**
	 * Returns all known rows, including those that were removed.
	 * @return a copy
	 */
	public List<KnownRow> rows() {
		return List.copyOf(this.rows.values());
	}

	private void remove(KnownRow row, StoreVersion version) {
		replace(row.replacedBy(Optional.empty(), version));
		dropOldestRemoved();
	}

	private void replace(KnownRow row) {
		// Removed rows stay in the order of their removal.
		this.rows.remove(row.key());
		this.rows.put(row.key(), row);
	}

	private void dropOldestRemoved() {
		List<String> removed = this.rows.values()
			.stream()
			.filter((row) -> row.current().isEmpty())
			.map(KnownRow::key)
			.toList();
		if (removed.size() > MAXIMUM_REMOVED) {
			this.rows.remove(removed.get(0));
		}
	}

	/**
	 * Rows that are known and that a read of the whole table did not return.
	 *
	 * @param removed the keys of rows that were removed in the current era
	 * @param lacking the keys of rows that a restored store does not have
	 */
	public record MissingRows(List<String> removed, List<String> lacking) {

	}

}
