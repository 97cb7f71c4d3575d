package io.wagtailmux.testbed.deployment;

import java.time.Duration;
import java.util.Optional;

import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;

/**
 * A request of a caller to a pipeline.
 *
 * @param pipeline the name of the pipeline
 * @param token the bearer token of the organisation
 * @param input the JSON input of the pipeline
 * @param key the idempotency key; empty to send none
 * @param timeout the timeout of the request; empty for the default of the pipeline
 * @param streamed whether the output of the last stage is requested as a stream of events
 * @author the wagtailmux developers
 */
public record ClientRequest(String pipeline, String token, JsonElement input, Optional<String> key,
		Optional<Duration> timeout, boolean streamed) {

	/**
	 * Creates a request without an idempotency key, with the default timeout, which is
	 * not streamed.
	 * @param pipeline the name of the pipeline
	 * @param token the bearer token of the organisation
	 * @param input the input, sent as a JSON string
	 * @return the request
	 */
	public static ClientRequest of(String pipeline, String token, String input) {
		return new ClientRequest(pipeline, token, new JsonPrimitive(input), Optional.empty(), Optional.empty(), false);
	}

	/**
	 * Returns a copy of this request with an idempotency key.
	 * @param text the idempotency key
	 * @return the copy
	 */
	public ClientRequest withKey(String text) {
		return new ClientRequest(this.pipeline, this.token, this.input, Optional.of(text), this.timeout, this.streamed);
	}

	/**
	 * Returns a copy of this request with a timeout.
	 * @param time the timeout, which is sent in whole milliseconds
	 * @return the copy
	 */
	public ClientRequest withTimeout(Duration time) {
		return new ClientRequest(this.pipeline, this.token, this.input, this.key, Optional.of(time), this.streamed);
	}

	/**
	 * Returns a copy of this request that asks for a stream of events.
	 * @return the copy
	 */
	public ClientRequest asStream() {
		return new ClientRequest(this.pipeline, this.token, this.input, this.key, this.timeout, true);
	}

}
