package io.wagtailmux.decision;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The weight of a candidate for a key, the same on every instance.
 *
 * <p>
 * The candidate with the largest weight is chosen. A candidate that comes or goes moves
 * only the keys that it wins or held. For example, the owner of a pool:
 *
 * <pre class="code">
 * instances.stream().max(Comparator.comparingInt((instance) -&gt; RendezvousHash.of(pool, instance)));
 * </pre>
 *
 * @author the wagtailmux developers
 */
public final class RendezvousHash {

	private static final long UNSIGNED = 0xffffffffL;

	private RendezvousHash() {
	}

	/**
	 * Returns a candidate's weight.
	 * @param key what is to be placed, by its text
	 * @param candidate where it may be placed, by its text
	 * @return any number
	 */
	public static int of(Object key, Object candidate) {
		return MurmurHash3.hash32x86((key + "#" + candidate).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a candidate's weight as a part of all weights.
	 * @param key what is to be placed, by its text
	 * @param candidate where it may be placed, by its text
	 * @return a number above zero and below one
	 */
	public static double fraction(Object key, Object candidate) {
		return ((of(key, candidate) & UNSIGNED) + 0.5) / (UNSIGNED + 1);
	}

}
