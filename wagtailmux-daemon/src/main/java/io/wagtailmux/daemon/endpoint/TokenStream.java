package io.wagtailmux.daemon.endpoint;

/**
 * Tokens of one stage, received by one or several attempts.
 *
 * <p>
 * Tokens are numbered from zero. A token that was received before is ignored, so that the
 * sink gets each token once although a later attempt resumes the stream; a gap is an
 * error of the endpoint. Not safe for use by several threads at once.
 *
 * @author the wagtailmux developers
 */
public final class TokenStream {

	private final StringBuilder text = new StringBuilder();

	private final TokenSink sink;

	private int receivedTokens;

	private boolean accepting = true;

	/**
	 * Creates a stream without tokens.
	 * @param sink receives each new token
	 */
	public TokenStream(TokenSink sink) {
		this.sink = sink;
	}

	/**
	 * Appends a token and passes it to the sink, unless it was received before or follows
	 * a gap.
	 * @param number the number of the token, from zero
	 * @param token the text of the token
	 * @return {@code false} if a token before this one is missing
	 */
	public boolean append(int number, String token) {
		if (number == this.receivedTokens) {
			this.receivedTokens++;
			this.text.append(token);
			this.accepting = this.sink.accept(number, token);
		}
		return number < this.receivedTokens;
	}

	/**
	 * Returns the number of tokens received so far.
	 * @return the count, which is also the number of the next token
	 */
	public int receivedTokens() {
		return this.receivedTokens;
	}

	/**
	 * Returns whether the sink accepts further tokens.
	 * @return what the sink returned for the last token; {@code true} before the first
	 */
	public boolean isAccepting() {
		return this.accepting;
	}

	/**
	 * Returns the text of all tokens received so far.
	 * @return the concatenated text; empty if there is no token
	 */
	public String text() {
		return this.text.toString();
	}

}
