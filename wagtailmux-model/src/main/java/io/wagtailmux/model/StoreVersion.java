package io.wagtailmux.model;

/**
 * Version of a row or of the whole store. The store has one counter, which increases with
 * each change. When the store is restored from an older copy, the counter goes back, the
 * era increases, and the same numbers are used again. So a number means something only
 * within its era.
 *
 * @param era the era of the store, larger after each restore; zero if the store states
 * none
 * @param number the value of the counter; zero stands for no row
 * @author the wagtailmux developers
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {

	/** Version of a row that does not exist. */
	public static final StoreVersion NONE = new StoreVersion(0, 0);

	/**
	 * Returns whether this is the version of a row that exists.
	 * @return whether the number is not zero
	 */
	public boolean exists() {
		return this.number > 0;
	}

	/**
	 * Compares eras first, and numbers only within one era.
	 */
	@Override
	public int compareTo(StoreVersion other) {
		int byEra = Long.compare(this.era, other.era);
		return (byEra != 0) ? byEra : Long.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return this.era + "." + this.number;
	}

}
