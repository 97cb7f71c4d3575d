package io.wagtailmux.testbed.standin;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

import io.wagtailmux.model.StageProtocol;

/**
 * The request and response formats of calls that are not streamed. {@code INFERENCE}
 * outputs an object with the input as its member {@code encoded}; {@code SERVICE} outputs
 * the input.
 *
 * @author the wagtailmux developers
 */
enum AnswerFormat {

	/** The format of {@link StageProtocol#INFERENCE}. */
	INFERENCE {
		@Override
		String input(JsonObject call) {
			return tensor(call).getAsJsonArray("data").get(0).getAsString();
		}

		@Override
		String answer(JsonObject call, String executionId, String callId) {
			JsonObject output = new JsonObject();
			output.add("encoded", JsonParser.parseString(input(call)));
			JsonArray data = new JsonArray();
			data.add(output.toString());
			JsonArray shape = new JsonArray();
			shape.add(1);
			JsonObject tensor = new JsonObject();
			tensor.addProperty("name", "output");
			tensor.add("shape", shape);
			tensor.addProperty("datatype", "BYTES");
			tensor.add("data", data);
			JsonArray outputs = new JsonArray();
			outputs.add(tensor);
			JsonObject answer = new JsonObject();
			answer.addProperty("id", callId);
			answer.addProperty("model_name", "stage");
			answer.add("outputs", outputs);
			return answer.toString();
		}

		private JsonObject tensor(JsonObject call) {
			return call.getAsJsonArray("inputs").get(0).getAsJsonObject();
		}
	},

	/** The format of {@link StageProtocol#SERVICE}. */
	SERVICE {
		@Override
		String input(JsonObject call) {
			return call.get("input").toString();
		}

		@Override
		String answer(JsonObject call, String executionId, String callId) {
			JsonElement input = call.get("input");
			JsonObject answer = new JsonObject();
			answer.addProperty("callId", callId);
			answer.addProperty("executionId", executionId);
			answer.add("output", input);
			return answer.toString();
		}
	};

	/**
	 * Returns the format of a protocol.
	 * @param protocol the protocol, which must not be streamed
	 * @return the format
	 */
	static AnswerFormat of(StageProtocol protocol) {
		return valueOf(protocol.name());
	}

	/**
	 * Returns the input of a call.
	 * @param call the body of the request
	 * @return the JSON text of the input
	 */
	abstract String input(JsonObject call);

	/**
	 * Returns the response to a call.
	 * @param call the body of the request
	 * @param executionId the id of the execution; not part of inference responses
	 * @param callId the id of the call
	 * @return the JSON text of the body
	 */
	abstract String answer(JsonObject call, String executionId, String callId);

}
