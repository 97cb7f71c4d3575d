package io.wagtailmux.testbed.deployment;

import java.time.Duration;

import com.google.gson.JsonObject;

/**
 * What a caller got.
 *
 * @param status the HTTP status; zero if there was no answer
 * @param body the JSON body, the last event's data for a stream; empty if there was none
 * @param tokens the tokens of a stream put together
 * @param elapsed how long it took
 * @author the wagtailmux developers
 */
public record CallerAnswer(int status, JsonObject body, String tokens, Duration elapsed) {

	/**
	 * Tells whether the request was answered.
	 * @return whether there is an output
	 */
	public boolean answered() {
		return this.status == 200 && this.body.has("output");
	}

	/**
	 * Returns the code of the error.
	 * @return the code, or an empty text if there is none
	 */
	public String code() {
		return this.body.has("code") ? this.body.get("code").getAsString() : "";
	}

	/**
	 * Returns what the error says of the execution.
	 * @return the word, or an empty text if there is none
	 */
	public String execution() {
		return this.body.has("execution") ? this.body.get("execution").getAsString() : "";
	}

}
