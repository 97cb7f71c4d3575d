package io.wagtailmux.decision;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Weights for rendezvous hashing, which are the same on every instance.
 *
 * <p>
 * A key belongs to the candidate with the largest weight. If a candidate is added or
 * removed, only the keys that it gains or loses change their owner. For example, the
 * owner of a pool:
 *
 * <pre class="code">
 * instances.stream().max(Comparator.comparingInt((instance) -&gt; RendezvousHash.of(pool, instance)));
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class RendezvousHash {

	private static final long UNSIGNED_INT_MASK = 0xffffffffL;

	private RendezvousHash() {
	}

	/**
	 * Returns the weight of a candidate for a key.
	 * @param key the key to place; its {@code toString()} is hashed
	 * @param candidate a possible owner of the key; its {@code toString()} is hashed
	 * @return the weight, which may be any {@code int}
	 */
	public static int of(Object key, Object candidate) {
		return MurmurHash3.hash32x86((key + "#" + candidate).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the weight of a candidate for a key, scaled to the unit interval. The order
	 * of unsigned weights is kept, which differs from the order of {@link #of}.
	 * @param key the key to place; its {@code toString()} is hashed
	 * @param candidate a possible owner of the key; its {@code toString()} is hashed
	 * @return a number greater than zero and less than one
	 */
	public static double fraction(Object key, Object candidate) {
		return ((of(key, candidate) & UNSIGNED_INT_MASK) + 0.5) / (UNSIGNED_INT_MASK + 1);
	}

	/**
	 * Returns the score of a candidate with a weight: over many keys, candidates have the
	 * highest score in proportion to their weights.
	 * @param key the key to place; its {@code toString()} is hashed
	 * @param candidate a possible owner of the key; its {@code toString()} is hashed
	 * @param weight the weight, greater than zero
	 * @return a positive number
	 */
	public static double weightedScore(Object key, Object candidate, double weight) {
		return -weight / Math.log(fraction(key, candidate));
	}

}
