package io.wagtailmux.decision.era;

import java.util.OptionalLong;

/**
 * Decides to which era of the store an answer belongs. Not thread-safe.
 *
 * <p>
 * The store states its era in each answer. An answer without a readable era counts as one
 * of the current era. A lower era is a late answer if the call was sent before the
 * current era was seen; otherwise the store itself has fallen back, which it should not,
 * and the answer counts as one of the current era, so that nothing stops.
 *
 * @author the wagtailmux developers
 */
public final class StoreEras {

	private long current;

	/**
	 * Returns the highest era seen so far, to be noted when a call is sent.
	 * @return the era; zero if none was stated yet
	 */
	public long current() {
		return this.current;
	}

	/**
	 * Classifies an answer.
	 * @param stated the era that the answer states; empty if it states none or it cannot
	 * be read
	 * @param whenSent the value of {@link #current()} when the call was sent
	 * @return how the answer is to be taken
	 */
	public EraVerdict judge(OptionalLong stated, long whenSent) {
		if (stated.isEmpty()) {
			return EraVerdict.UNSTATED;
		}
		long era = stated.getAsLong();
		if (era > this.current) {
			boolean first = this.current == 0;
			this.current = era;
			return first ? EraVerdict.CURRENT : EraVerdict.NEW;
		}
		if (era == this.current) {
			return EraVerdict.CURRENT;
		}
		return (whenSent < this.current) ? EraVerdict.LATE : EraVerdict.FALLEN;
	}

}
