package io.wagtailmux.decision.claim;

/**
 * Decision on a request with an idempotency key, given the stored claim for the key.
 *
 * @author the wagtailmux developers
 */
public enum ClaimVerdict {

	/** This attempt holds the claim and runs the request. */
	RUN,

	/** The claim was released; the request has to claim the key again. */
	CLAIM_AGAIN,

	/** The request was answered before; the stored answer is returned. */
	REPLAY,

	/** The key was used before with another pipeline or body. */
	MISMATCH,

	/**
	 * Another attempt is running, or it is unknown whether it ran; the request must not
	 * run.
	 */
	UNRESOLVED;

	/**
	 * Decides what an attempt may do, given the stored claim.
	 * @param recorded the claim in the table of claims
	 * @param attempt the id of the attempt
	 * @param bodyDigest the digest of the attempt's pipeline and body
	 * @return what the attempt may do
	 */
	public static ClaimVerdict of(Claim recorded, String attempt, String bodyDigest) {
		if (!recorded.bodyDigest().equals(bodyDigest)) {
			return MISMATCH;
		}
		return switch (recorded.state()) {
			case CLAIMED -> recorded.attempt().equals(attempt) ? RUN : UNRESOLVED;
			case DONE -> REPLAY;
			case RELEASED -> CLAIM_AGAIN;
			case UNKNOWN -> UNRESOLVED;
		};
	}

}
