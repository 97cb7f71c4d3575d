package io.wagtailmux.testbed.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;

import io.wagtailmux.daemon.endpoint.WireHeaders;

/**
 * The streamed response to a completion call: the prompt, split into numbered tokens of
 * equal size, of which the last may be shorter. The id of the call serves as its
 * execution id.
 *
 * @author the wagtailmux developers
 */
final class CompletionAnswer {

	private final HttpExchange exchange;

	private final EndpointCounts counts;

	private final CallSpan span;

	private final int tokens;

	private final Duration time;

	private final EndpointFault fault;

	private final boolean fail;

	CompletionAnswer(HttpExchange exchange, EndpointCounts counts, CallSpan span, int tokens, Duration time,
			EndpointFault fault, boolean fail) {
		this.exchange = exchange;
		this.counts = counts;
		this.span = span;
		this.tokens = tokens;
		this.time = time;
		this.fault = fault;
		this.fail = fail;
	}

	/**
	 * Sends the stream. If the request has the header {@code Last-Event-ID}, the stream
	 * starts after the token with this number; the call still counts as an execution.
	 * @param body the JSON body of the call
	 * @param callId the id of the call
	 */
	void send(String body, String callId) throws IOException, InterruptedException {
		String prompt = JsonParser.parseString(body).getAsJsonObject().get("prompt").getAsString();
		this.counts.recordExecution(prompt, callId, callId);
		if (this.fail || this.fault == EndpointFault.FAIL_AFTER_RUN) {
			this.span.end(false);
			Answers.send(this.exchange, 500, "failed");
			return;
		}
		String lastEventId = this.exchange.getRequestHeaders().getFirst(WireHeaders.LAST_EVENT_ID);
		int firstToken = (lastEventId != null) ? Integer.parseInt(lastEventId) + 1 : 0;
		this.exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
		this.exchange.sendResponseHeaders(200, 0);
		try {
			stream(prompt, firstToken);
		}
		catch (IOException ex) {
			this.counts.recordCancellation();
			throw ex;
		}
	}

	private void stream(String prompt, int firstToken) throws IOException, InterruptedException {
		OutputStream out = this.exchange.getResponseBody();
		Duration interval = this.time.dividedBy(this.tokens);
		int size = Math.max(1, (prompt.length() + this.tokens - 1) / this.tokens);
		for (int number = firstToken; number * size < prompt.length(); number++) {
			Thread.sleep(interval.toMillis(), interval.toNanosPart() % 1_000_000);
			if (number == this.tokens / 2 && injectFault()) {
				return;
			}
			String text = prompt.substring(number * size, Math.min(prompt.length(), (number + 1) * size));
			out.write(event(number, text).getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		this.span.end(true);
		out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
		this.exchange.close();
	}

	// Returns whether a fault ends the stream in the middle.
	private boolean injectFault() throws IOException {
		if (this.fault == EndpointFault.SHORT_STREAM) {
			this.exchange.getResponseBody().close();
			return true;
		}
		if (this.fault == EndpointFault.MALFORMED_ANSWER) {
			this.exchange.getResponseBody().write("id: x\ndata: {\n\n".getBytes(StandardCharsets.UTF_8));
			return true;
		}
		return this.fault == EndpointFault.BREAK_MID_ANSWER;
	}

	private static String event(int number, String text) {
		JsonObject choice = new JsonObject();
		choice.addProperty("index", 0);
		choice.addProperty("text", text);
		JsonArray choices = new JsonArray();
		choices.add(choice);
		JsonObject chunk = new JsonObject();
		chunk.addProperty("object", "text_completion");
		chunk.add("choices", choices);
		return "id: " + number + "\ndata: " + chunk + "\n\n";
	}

}
