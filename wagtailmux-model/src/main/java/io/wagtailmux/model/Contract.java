package io.wagtailmux.model;

/**
 * Concurrency limits of each endpoint of a pool. They apply to the calls in flight from
 * all instances together.
 *
 * @param coldLimit the most concurrent calls to an endpoint that has just started, at
 * least one
 * @param warmLimit the most concurrent calls to a warm endpoint, at least the cold limit
 * @param warmAfter the number of consecutive successful responses that double the limit
 * of a cold endpoint, at least one; only calls sent while it was at its limit count
 * @author the wagtailmux developers
 */
public record Contract(int coldLimit, int warmLimit, int warmAfter) {

	/**
	 * Creates the limits.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_VALUE} if a limit is out
	 * of range
	 */
	public Contract {
		if (coldLimit < 1 || warmLimit < coldLimit || warmAfter < 1) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE,
					"Contract: cold-limit " + coldLimit + ", warm-limit " + warmLimit + ", warm-after " + warmAfter
							+ " must satisfy 1 <= cold-limit <= warm-limit and 1 <= warm-after");
		}
	}

}
