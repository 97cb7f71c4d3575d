package io.wagtailmux.decision.duty;

/**
 * Number that rises with each change of the holder of duties, so that a receiver can tell
 * calls of an earlier holder.
 *
 * @param value the number; zero stands for no holder yet
 * @author the wagtailmux developers
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	/** Lower than the token of any holder. */
	public static final FencingToken NONE = new FencingToken(0);

	/**
	 * How far the tokens of two eras of the store are apart, more than there can be
	 * changes of the holder within one era.
	 */
	private static final long TOKENS_PER_ERA = 1L << 32;

	private static final long FIRST_ERA = 1;

	/**
	 * Returns the token of the next holder.
	 * @param heard the largest token that other instances know
	 * @param era the era of the store
	 * @return a token larger than this one, the one heard and all of earlier eras
	 */
	public FencingToken next(FencingToken heard, long era) {
		long ofEarlierEras = Math.max(0, era - FIRST_ERA) * TOKENS_PER_ERA;
		return new FencingToken(Math.max(Math.max(this.value, heard.value), ofEarlierEras) + 1);
	}

	/**
	 * Returns the larger of two tokens.
	 * @param other the other token
	 * @return the larger one
	 */
	public FencingToken max(FencingToken other) {
		return (compareTo(other) >= 0) ? this : other;
	}

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
