package io.wagtailmux.testbed.deployment;

import java.time.Duration;

import com.google.gson.JsonObject;

/**
 * The response to a request of a caller.
 *
 * @param status the HTTP status, or zero if no complete response arrived; a stream that
 * ends early keeps its status but has no output
 * @param body the JSON body; for a stream, the members of all events other than tokens;
 * an empty object if there was no response
 * @param tokens the concatenated tokens of a stream; an empty text if it was not streamed
 * @param elapsed the time from sending the request until the end of the response
 * @author the wagtailmux developers
 */
public record CallerAnswer(int status, JsonObject body, String tokens, Duration elapsed) {

	/**
	 * Returns whether the request succeeded.
	 * @return whether the status is 200 and the body has an output
	 */
	public boolean answered() {
		return this.status == 200 && this.body.has("output");
	}

	/**
	 * Returns the problem code of an error response.
	 * @return the code, or an empty text if the body has none
	 */
	public String code() {
		return this.body.has("code") ? this.body.get("code").getAsString() : "";
	}

	/**
	 * Returns the execution state that an error response states.
	 * @return the state, for example {@code not-run}, or an empty text if the body has
	 * none
	 */
	public String execution() {
		return this.body.has("execution") ? this.body.get("execution").getAsString() : "";
	}

}
