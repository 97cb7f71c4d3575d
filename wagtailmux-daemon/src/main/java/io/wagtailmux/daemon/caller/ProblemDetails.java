package io.wagtailmux.daemon.caller;

import java.time.Duration;

import com.google.gson.JsonObject;
import io.jooby.Context;

import io.wagtailmux.daemon.traffic.RequestException;

/**
 * Error responses in the form of problem details (RFC 9457).
 *
 * @author the wagtailmux developers
 */
public final class ProblemDetails {

	private static final String CONTENT_TYPE = "application/problem+json";

	private ProblemDetails() {
	}

	/**
	 * Sends an error response.
	 * @param context the HTTP request to respond to
	 * @param requestId the request's id
	 * @param problem the error
	 */
	static void send(Context context, String requestId, RequestException problem) {
		context.setResponseCode(problem.code().status());
		context.setResponseType(CONTENT_TYPE);
		problem.retryAfter().ifPresent((time) -> context.setResponseHeader("Retry-After", secondsRoundedUp(time)));
		context.send(body(requestId, problem).toString());
	}

	/**
	 * Returns the problem details of an error.
	 * @param requestId the request's id
	 * @param problem the error
	 * @return the JSON object of the response body
	 */
	public static JsonObject body(String requestId, RequestException problem) {
		JsonObject body = new JsonObject();
		body.addProperty("type", "about:blank");
		body.addProperty("title", problem.code().title());
		body.addProperty("status", problem.code().status());
		body.addProperty("detail", problem.getMessage());
		body.addProperty("code", problem.code().wireName());
		body.addProperty("requestId", requestId);
		body.addProperty("execution", problem.execution().wireName());
		problem.retryAfter().ifPresent((time) -> body.addProperty("retryAfterMs", time.toMillis()));
		return body;
	}

	// The result is at least one second, also for a shorter time.
	private static long secondsRoundedUp(Duration time) {
		return Math.max(1, time.plusMillis(999).toSeconds());
	}

}
