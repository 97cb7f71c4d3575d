package io.wagtailmux.model;

/**
 * Customer, whose requests are authenticated by a bearer token.
 *
 * @param id the organisation's id
 * @param tokenDigest the SHA-256 of its bearer token, in lower-case hexadecimal digits
 * @param weight its share of the capacity of an overloaded pool, relative to other
 * organisations; at least one
 * @author the wagtailmux developers
 */
public record Organisation(OrganisationId id, String tokenDigest, int weight) {

	/**
	 * Creates the organisation.
	 * @throws ModelException with {@link ModelErrorCode#INVALID_VALUE} if the weight is
	 * below one or the digest is malformed
	 */
	public Organisation {
		if (weight < 1) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE,
					"Organisation " + id + ": weight " + weight + " is below 1");
		}
		if (!tokenDigest.matches("[0-9a-f]{64}")) {
			throw new ModelException(ModelErrorCode.INVALID_VALUE,
					"Organisation " + id + ": token-sha256 is not 64 lower-case hexadecimal digits");
		}
	}

}
