package io.wagtailmux.daemon.endpoint;

/**
 * Consumer of the tokens of a streamed answer. Each token is passed once and in order, by
 * the thread that runs the request.
 *
 * @author the wagtailmux developers
 */
@FunctionalInterface
public interface TokenSink {

	/** Discards all tokens. */
	TokenSink NONE = (number, token) -> true;

	/**
	 * Accepts the next token.
	 * @param number the position of the token in the answer, from zero
	 * @param token the text of the token
	 * @return whether the consumer accepts further tokens; {@code false} cancels the call
	 */
	boolean accept(int number, String token);

}
