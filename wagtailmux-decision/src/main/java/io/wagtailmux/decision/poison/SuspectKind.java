package io.wagtailmux.decision.poison;

/**
 * What may have crashed an endpoint, told by the form of its id.
 *
 * @author the wagtailmux developers
 */
public enum SuspectKind {

	/**
	 * A part that several prompts may share. Many requests with it can be at endpoints at
	 * the same time.
	 */
	PROMPT_PART,

	/** One request, which its caller sends again under other attempt ids. */
	REQUEST;

	/** Cannot occur in the id of a prompt part, which is hexadecimal. */
	private static final String REQUEST_PREFIX = "request:";

	/**
	 * Returns the id of a request.
	 * @param hash the hash of what its repetitions have in common
	 * @return the id
	 */
	public static String requestId(String hash) {
		return REQUEST_PREFIX + hash;
	}

	/**
	 * Returns the kind of a suspect.
	 * @param id the id
	 * @return the kind
	 */
	public static SuspectKind of(String id) {
		return id.startsWith(REQUEST_PREFIX) ? REQUEST : PROMPT_PART;
	}

	/**
	 * Returns whether an id belongs to a suspect of this kind.
	 * @param id the id
	 * @return whether it does
	 */
	boolean includes(String id) {
		return of(id) == this;
	}

}
