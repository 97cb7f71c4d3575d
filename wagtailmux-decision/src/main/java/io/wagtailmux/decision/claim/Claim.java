package io.wagtailmux.decision.claim;

/**
 * A claim as it is recorded.
 *
 * @param attempt names the attempt that holds the claim; no two attempts share one
 * @param instance the instance that made it
 * @param requestId the request that made it
 * @param bodyDigest the digest of the pipeline and the body that came with the key
 * @param state the claim's state
 * @param output the answer's JSON text if the state is {@link ClaimState#DONE}, else
 * {@code null}
 * @author the wagtailmux developers
 */
public record Claim(String attempt, String instance, String requestId, String bodyDigest, ClaimState state,
		String output) {

	/**
	 * Returns this claim in another state.
	 * @param next the state
	 * @param answer the answer's JSON text for {@link ClaimState#DONE}, else {@code null}
	 * @return the claim
	 */
	public Claim withState(ClaimState next, String answer) {
		return new Claim(this.attempt, this.instance, this.requestId, this.bodyDigest, next, answer);
	}

}
