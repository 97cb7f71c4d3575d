package io.wagtailmux.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.jooby.Context;

import io.wagtailmux.daemon.endpoint.TokenSink;
import io.wagtailmux.daemon.settings.CallerLimits;
import io.wagtailmux.daemon.traffic.PipelineRequest;
import io.wagtailmux.daemon.traffic.ProblemCode;
import io.wagtailmux.daemon.traffic.RequestException;
import io.wagtailmux.model.IdempotencyKey;
import io.wagtailmux.model.ModelException;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.Pipeline;
import io.wagtailmux.model.RequestId;
import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.model.TimeSource;

/**
 * Parses and validates requests of callers.
 *
 * @author the wagtailmux developers
 */
final class RequestReader {

	private static final String TIMEOUT_HEADER = "Wagtailmux-Timeout-Ms";

	private static final String KEY_HEADER = "Idempotency-Key";

	private final CallerLimits limits;

	private final TimeSource time;

	RequestReader(CallerLimits limits, TimeSource time) {
		this.limits = limits;
		this.time = time;
	}

	/**
	 * Authenticates the caller, then reads and validates the request. The timeout of the
	 * request counts from now.
	 * @param context the HTTP request
	 * @param id the id assigned to the request
	 * @param configuration the configuration in force
	 * @param sink receives the tokens of the last stage
	 * @return the valid request, with its deadline
	 * @throws RequestException if the token, the pipeline, a header or the body is not
	 * valid
	 */
	PipelineRequest read(Context context, RequestId id, SystemConfiguration configuration, TokenSink sink) {
		Organisation organisation = TokenDigest.ofRequest(context)
			.flatMap(configuration::organisationOfToken)
			.orElseThrow(() -> RequestException.invalid(ProblemCode.UNAUTHORISED, "no known bearer token"));
		Pipeline pipeline = pipeline(context.path("pipeline").value(), configuration);
		Duration timeout = timeout(context, pipeline);
		Optional<IdempotencyKey> key = key(context);
		JsonElement input = input(context);
		return new PipelineRequest(id, organisation, pipeline, input, key, this.time.elapsed().plus(timeout), sink);
	}

	private static Pipeline pipeline(String name, SystemConfiguration configuration) {
		return configuration.pipelines()
			.values()
			.stream()
			.filter((pipeline) -> pipeline.id().value().equals(name))
			.findFirst()
			.orElseThrow(
					() -> RequestException.invalid(ProblemCode.UNKNOWN_PIPELINE, "unknown pipeline '" + name + "'"));
	}

	private Duration timeout(Context context, Pipeline pipeline) {
		String text = context.header(TIMEOUT_HEADER).value("");
		if (text.isEmpty()) {
			return pipeline.timeout();
		}
		try {
			long milliseconds = Long.parseLong(text);
			if (milliseconds >= 1 && milliseconds <= this.limits.maximumTimeout().toMillis()) {
				return Duration.ofMillis(milliseconds);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, like a number out of range.
		}
		throw RequestException.invalid(ProblemCode.INVALID_HEADER, TIMEOUT_HEADER + " '" + text
				+ "' is not a number of milliseconds from 1 to " + this.limits.maximumTimeout().toMillis());
	}

	private static Optional<IdempotencyKey> key(Context context) {
		try {
			return context.header(KEY_HEADER).toOptional().map(IdempotencyKey::new);
		}
		catch (ModelException ex) {
			throw RequestException.invalid(ProblemCode.INVALID_HEADER, KEY_HEADER + ": " + ex.getMessage());
		}
	}

	private static JsonElement input(Context context) {
		try {
			String body = new String(context.body().bytes(), StandardCharsets.UTF_8);
			JsonElement json = JsonParser.parseString(body);
			JsonObject object = json.getAsJsonObject();
			if (object.size() == 1 && object.has("input")) {
				return object.get("input");
			}
			throw RequestException.invalid(ProblemCode.MALFORMED_BODY,
					"expected the single field 'input', found the fields " + object.keySet());
		}
		// The JSON parser is recursive and overflows the stack on a deeply nested body.
		catch (JsonParseException | IllegalStateException | StackOverflowError ex) {
			throw RequestException.invalid(ProblemCode.MALFORMED_BODY, "the body is not a JSON object");
		}
	}

}
