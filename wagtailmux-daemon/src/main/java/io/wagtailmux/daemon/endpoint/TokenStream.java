package io.wagtailmux.daemon.endpoint;

/**
 * The tokens of one stage as they arrive over one or several attempts.
 *
 * <p>
 * Tokens are numbered from zero. A token that was taken before is passed over, so that a
 * stream that is resumed shows each token once; a gap is an error of the endpoint.
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
	 * @param sink gets each new token
	 */
	public TokenStream(TokenSink sink) {
		this.sink = sink;
	}

	/**
	 * Takes a token.
	 * @param number its number
	 * @param token its text
	 * @return whether it was the next token or an earlier one, not one after a gap
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
	 * Returns how many tokens were taken.
	 * @return the number of the next token
	 */
	public int receivedTokens() {
		return this.receivedTokens;
	}

	/**
	 * Tells whether anyone still wants the rest.
	 * @return whether the sink took the last token
	 */
	public boolean isAccepting() {
		return this.accepting;
	}

	/**
	 * Returns the text of all tokens.
	 * @return the text so far
	 */
	public String text() {
		return this.text.toString();
	}

}
