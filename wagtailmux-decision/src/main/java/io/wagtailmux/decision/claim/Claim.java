package io.wagtailmux.decision.claim;

/**
 * Stored claim on a request with an idempotency key.
 *
 * @param attempt the unique id of the attempt that holds the claim
 * @param instance the id of the instance that made the claim
 * @param requestId the id of the request that made the claim
 * @param bodyDigest the digest of the pipeline and the body that were sent with the key
 * @param state the state of the claim
 * @param output the answer as JSON text if the state is {@link ClaimState#DONE}, else
 * {@code null}
 * @author the wagtailmux developers
 */
public record Claim(String attempt, String instance, String requestId, String bodyDigest, ClaimState state,
		String output) {

	/**
	 * Returns a copy of this claim in another state.
	 * @param next the state of the copy
	 * @param answer the answer as JSON text for {@link ClaimState#DONE}, else
	 * {@code null}
	 * @return the copy
	 */
	public Claim withState(ClaimState next, String answer) {
		return new Claim(this.attempt, this.instance, this.requestId, this.bodyDigest, next, answer);
	}

}
