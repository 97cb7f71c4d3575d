package io.wagtailmux.testbed.deployment;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;

/**
 * A caller. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class CallerClient {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration PATIENCE = Duration.ofSeconds(30);

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.callTimeout(PATIENCE)
		.readTimeout(PATIENCE)
		.connectionPool(new ConnectionPool(2048, 1, TimeUnit.MINUTES))
		.build();

	/**
	 * Sends a request and waits for the answer.
	 * @param entry the base address of an instance
	 * @param request what to ask
	 * @return what came back
	 */
	public CallerAnswer send(URI entry, ClientRequest request) {
		JsonObject body = new JsonObject();
		body.add("input", request.input());
		return sendBody(entry, request, body.toString());
	}

	/**
	 * Sends a request with a body of any form.
	 * @param entry the base address of an instance
	 * @param question what to ask, but for the input
	 * @param body the body
	 * @return what came back
	 */
	public CallerAnswer sendBody(URI entry, ClientRequest question, String body) {
		Request.Builder request = new Request.Builder()
			.url(entry.resolve("/v1/pipelines/" + question.pipeline() + "/requests").toString())
			.header("Authorization", "Bearer " + question.token())
			.post(RequestBody.create(body, JSON));
		question.key().ifPresent((key) -> request.header("Idempotency-Key", key));
		question.timeout()
			.ifPresent((timeout) -> request.header("Wagtailmux-Timeout-Ms", Long.toString(timeout.toMillis())));
		if (question.streamed()) {
			request.header("Accept", "text/event-stream");
		}
		long start = System.nanoTime();
		try (Response response = this.client.newCall(request.build()).execute()) {
			return read(response, start);
		}
		catch (IOException | JsonParseException | IllegalStateException ex) {
			return new CallerAnswer(0, new JsonObject(), "", since(start));
		}
	}

	private static CallerAnswer read(Response response, long start) throws IOException {
		if (!Optional.ofNullable(response.header("Content-Type")).orElse("").startsWith("text/event-stream")) {
			JsonObject body = JsonParser.parseString(response.body().string()).getAsJsonObject();
			return new CallerAnswer(response.code(), body, "", since(start));
		}
		StringBuilder tokens = new StringBuilder();
		JsonObject end = new JsonObject();
		EventSources.processResponse(response, new EventSourceListener() {

			@Override
			public void onEvent(EventSource source, String id, String type, String data) {
				JsonObject event = JsonParser.parseString(data).getAsJsonObject();
				if ("token".equals(type)) {
					tokens.append(event.get("token").getAsString());
				}
				else {
					event.entrySet().forEach((entry) -> end.add(entry.getKey(), entry.getValue()));
				}
			}

		});
		return new CallerAnswer(response.code(), end, tokens.toString(), since(start));
	}

	private static Duration since(long start) {
		return Duration.ofNanos(System.nanoTime() - start);
	}

}
