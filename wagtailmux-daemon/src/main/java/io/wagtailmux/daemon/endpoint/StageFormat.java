package io.wagtailmux.daemon.endpoint;

import java.io.IOException;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import okhttp3.Call;
import okhttp3.Response;

import io.wagtailmux.model.StageProtocol;

/**
 * Request and response format of each {@link StageProtocol}.
 *
 * @author the wagtailmux developers
 */
enum StageFormat {

	/** See {@link StageProtocol#COMPLETIONS}. */
	COMPLETIONS {
		@Override
		JsonObject body(StageCall call) {
			JsonObject body = new JsonObject();
			// The endpoint's version is sent as the name of the model.
			body.addProperty("model", call.endpoint().version().value());
			body.addProperty("prompt", promptOf(call.input()));
			body.addProperty("max_tokens", MAXIMUM_TOKENS);
			body.addProperty("stream", true);
			return body;
		}

		@Override
		JsonElement read(StageCall stageCall, Call call, Response response) throws IOException {
			CompletionStreamReader reader = new CompletionStreamReader(stageCall.stream(), call);
			reader.read(response);
			return new JsonPrimitive(stageCall.stream().text());
		}
	},

	/** See {@link StageProtocol#INFERENCE}. */
	INFERENCE {
		@Override
		JsonObject body(StageCall call) {
			JsonArray shape = new JsonArray();
			shape.add(1);
			JsonArray data = new JsonArray();
			data.add(call.input().toString());
			JsonObject tensor = new JsonObject();
			tensor.addProperty("name", "input");
			tensor.add("shape", shape);
			tensor.addProperty("datatype", "BYTES");
			tensor.add("data", data);
			JsonArray inputs = new JsonArray();
			inputs.add(tensor);
			JsonObject body = new JsonObject();
			body.addProperty("id", call.id().toString());
			body.add("inputs", inputs);
			return body;
		}

		@Override
		JsonElement read(StageCall stageCall, Call call, Response response) throws IOException {
			JsonObject answer = JsonParser.parseString(response.body().string()).getAsJsonObject();
			requireId(stageCall, answer, "id");
			JsonObject tensor = answer.getAsJsonArray("outputs").get(0).getAsJsonObject();
			return JsonParser.parseString(tensor.getAsJsonArray("data").get(0).getAsString());
		}
	},

	/** See {@link StageProtocol#SERVICE}. */
	SERVICE {
		@Override
		JsonObject body(StageCall call) {
			JsonObject body = new JsonObject();
			body.addProperty("callId", call.id().toString());
			body.add("input", call.input());
			return body;
		}

		@Override
		JsonElement read(StageCall stageCall, Call call, Response response) throws IOException {
			JsonObject answer = JsonParser.parseString(response.body().string()).getAsJsonObject();
			requireId(stageCall, answer, "callId");
			answer.remove("callId");
			return answer;
		}
	};

	// Limit on the tokens that an endpoint generates for one stage.
	private static final int MAXIMUM_TOKENS = 256;

	/**
	 * Returns the format of a protocol.
	 * @param protocol the protocol
	 * @return the format of the same name
	 */
	static StageFormat of(StageProtocol protocol) {
		return valueOf(protocol.name());
	}

	/**
	 * Returns the JSON body of the request for a call.
	 * @param call the call to encode
	 * @return the request body
	 */
	abstract JsonObject body(StageCall call);

	/**
	 * Reads the response to a call.
	 * @param stageCall the call
	 * @param call the HTTP call, which is cancelled if the consumer of a stream no longer
	 * accepts tokens
	 * @param response the response, whose status is 2xx
	 * @return the output of the stage
	 * @throws IOException if the response ends early or a stream is not complete
	 * @throws com.google.gson.JsonParseException if the response is not valid JSON
	 * @throws IllegalStateException if the response is not a JSON object, or is for
	 * another call
	 * @throws RuntimeException of another type if a field or an element that the protocol
	 * requires is missing or has the wrong type
	 */
	abstract JsonElement read(StageCall stageCall, Call call, Response response) throws IOException;

	private static String promptOf(JsonElement input) {
		boolean text = input.isJsonPrimitive() && input.getAsJsonPrimitive().isString();
		return text ? input.getAsString() : input.toString();
	}

	private static void requireId(StageCall call, JsonObject answer, String field) {
		String id = answer.get(field).getAsString();
		if (!call.id().toString().equals(id)) {
			throw new IllegalStateException("response field " + field + " is of another call: " + id);
		}
	}

}
