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
 * An HTTP client that sends requests to instances as a caller does. It never retries.
 * Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class CallerClient {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.callTimeout(TIMEOUT)
		.readTimeout(TIMEOUT)
		.connectionPool(new ConnectionPool(2048, 1, TimeUnit.MINUTES))
		.build();

	/**
	 * Sends a request and waits for the response.
	 * @param address the base address of an instance
	 * @param request the request
	 * @return the response; its status is zero if there is none within 30 s, the
	 * connection fails or the body is not a JSON object; a stream that breaks off or has
	 * a malformed event is read up to there
	 */
	public CallerAnswer send(URI address, ClientRequest request) {
		JsonObject body = new JsonObject();
		body.add("input", request.input());
		return sendBody(address, request, body.toString());
	}

	/**
	 * Sends a request with an arbitrary body, which may be malformed, and waits for the
	 * response.
	 * @param address the base address of an instance
	 * @param request the request, whose input is ignored
	 * @param body the body that is sent in place of the input
	 * @return the response, as for {@link #send}
	 */
	public CallerAnswer sendBody(URI address, ClientRequest request, String body) {
		Request.Builder builder = new Request.Builder()
			.url(address.resolve("/v1/pipelines/" + request.pipeline() + "/requests").toString())
			.header("Authorization", "Bearer " + request.token())
			.post(RequestBody.create(body, JSON));
		request.key().ifPresent((key) -> builder.header("Idempotency-Key", key));
		request.timeout()
			.ifPresent((timeout) -> builder.header("Wagtailmux-Timeout-Ms", Long.toString(timeout.toMillis())));
		if (request.streamed()) {
			builder.header("Accept", "text/event-stream");
		}
		long start = System.nanoTime();
		try (Response response = this.client.newCall(builder.build()).execute()) {
			return read(response, start);
		}
		catch (IOException | JsonParseException | IllegalStateException ex) {
			return new CallerAnswer(0, new JsonObject(), "", elapsedSince(start));
		}
	}

	private static CallerAnswer read(Response response, long start) throws IOException {
		if (!Optional.ofNullable(response.header("Content-Type")).orElse("").startsWith("text/event-stream")) {
			JsonObject body = JsonParser.parseString(response.body().string()).getAsJsonObject();
			return new CallerAnswer(response.code(), body, "", elapsedSince(start));
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
		return new CallerAnswer(response.code(), end, tokens.toString(), elapsedSince(start));
	}

	private static Duration elapsedSince(long start) {
		return Duration.ofNanos(System.nanoTime() - start);
	}

}
