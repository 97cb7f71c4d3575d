package io.wagtailmux.testbed.deployment;

import java.time.Duration;
import java.util.Optional;

import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;

/**
 * What a caller asks.
 *
 * @param pipeline the pipeline
 * @param token the organisation's token
 * @param input the input
 * @param key the idempotency key, if there is one
 * @param timeout how long the answer may take, if not the pipeline's default
 * @param streamed whether the last stage is streamed
 * @author the wagtailmux developers
 */
public record ClientRequest(String pipeline, String token, JsonElement input, Optional<String> key,
		Optional<Duration> timeout, boolean streamed) {

	/**
	 * Creates a plain question.
	 * @param pipeline the pipeline
	 * @param token the organisation's token
	 * @param input the input's text
	 * @return the question
	 */
	public static ClientRequest of(String pipeline, String token, String input) {
		return new ClientRequest(pipeline, token, new JsonPrimitive(input), Optional.empty(), Optional.empty(), false);
	}

	/**
	 * Returns this question with a key.
	 * @param text the key
	 * @return the question
	 */
	public ClientRequest withKey(String text) {
		return new ClientRequest(this.pipeline, this.token, this.input, Optional.of(text), this.timeout, this.streamed);
	}

	/**
	 * Returns this question with a timeout.
	 * @param time the timeout
	 * @return the question
	 */
	public ClientRequest withTimeout(Duration time) {
		return new ClientRequest(this.pipeline, this.token, this.input, this.key, Optional.of(time), this.streamed);
	}

	/**
	 * Returns this question with a streamed answer.
	 * @return the question
	 */
	public ClientRequest asStream() {
		return new ClientRequest(this.pipeline, this.token, this.input, this.key, this.timeout, true);
	}

}
