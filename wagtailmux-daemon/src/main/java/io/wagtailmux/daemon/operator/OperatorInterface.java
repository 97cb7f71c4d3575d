package io.wagtailmux.daemon.operator;

import java.time.Duration;
import java.util.Optional;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.StatusCode;

import io.wagtailmux.daemon.caller.ControlView;
import io.wagtailmux.daemon.caller.TokenDigest;
import io.wagtailmux.daemon.settings.InstanceSettings;
import io.wagtailmux.store.PlatformException;
import io.wagtailmux.store.configuration.AcceptedConfiguration;
import io.wagtailmux.store.configuration.ConfigurationHead;
import io.wagtailmux.store.configuration.ConfigurationStore;
import io.wagtailmux.store.ini.IniException;

/**
 * HTTP interface for operators: {@code GET /v1/status}, {@code GET /v1/configuration},
 * its history and earlier versions, and {@code POST /v1/configuration}. Every request
 * must carry the operator token.
 *
 * @author the wagtailmux developers
 */
public final class OperatorInterface {

	private final Gson gson = new Gson();

	private final InstanceSettings settings;

	private final ControlView control;

	private final ConfigurationStore configurations;

	/**
	 * Creates the interface, which does not listen by itself; see {@link #application()}.
	 * @param settings the settings of the instance
	 * @param control provides the latest control state
	 * @param configurations stores configurations and their history
	 */
	public OperatorInterface(InstanceSettings settings, ControlView control, ConfigurationStore configurations) {
		this.settings = settings;
		this.control = control;
		this.configurations = configurations;
	}

	/**
	 * Returns the routes of this interface.
	 * @return the application for an HTTP server
	 */
	public Jooby application() {
		Jooby application = new Jooby();
		application.setExecutionMode(ExecutionMode.WORKER);
		application.before(this::requireToken);
		application.get("/v1/status", this::status);
		application.get("/v1/configuration", this::configuration);
		application.get("/v1/configuration/history", this::history);
		application.get("/v1/configuration/{version}", this::earlierVersion);
		application.post("/v1/configuration", this::apply);
		application.error((context, cause, code) -> fail(context, cause, code));
		return application;
	}

	private void requireToken(Context context) {
		Optional<String> digest = TokenDigest.ofRequest(context);
		if (!digest.equals(Optional.of(this.settings.operatorTokenDigest()))) {
			throw new OperatorException(OperatorErrorCode.UNAUTHORISED, "the operator token is missing or wrong");
		}
	}

	private Object status(Context context) {
		InstanceStatus status = new InstanceStatus(this.settings.id().value(), this.settings.zone().value(),
				this.control.view().accepted().version());
		return json(context, this.gson.toJson(status));
	}

	private Object configuration(Context context) {
		AcceptedConfiguration accepted = this.control.view().accepted();
		ConfigurationText text = new ConfigurationText(accepted.version(), accepted.text());
		return json(context, this.gson.toJson(text));
	}

	private Object history(Context context) {
		return json(context, "{\"accepted\":" + this.gson.toJson(this.configurations.history()) + "}");
	}

	private Object earlierVersion(Context context) {
		String version = context.path("version").value();
		ConfigurationHead head = this.configurations.history()
			.stream()
			.filter((accepted) -> Long.toString(accepted.version()).equals(version))
			.findFirst()
			.orElseThrow(() -> new OperatorException(OperatorErrorCode.UNKNOWN_PATH,
					"there is no configuration version " + version));
		AcceptedConfiguration accepted = this.configurations.load(head);
		return json(context, this.gson.toJson(new ConfigurationText(accepted.version(), accepted.text())));
	}

	private Object apply(Context context) {
		ApplyRequest request = read(context);
		Optional<Long> version = this.configurations.accept(request.text(), request.expectedVersion(), request.by());
		if (version.isEmpty()) {
			throw new OperatorException(OperatorErrorCode.CONFLICT, "configuration version " + request.expectedVersion()
					+ " was replaced by another change; review that change and apply again");
		}
		JsonObject answer = new JsonObject();
		answer.addProperty("version", version.get());
		return json(context, answer.toString());
	}

	private ApplyRequest read(Context context) {
		try {
			JsonObject body = JsonParser.parseString(context.body().value()).getAsJsonObject();
			return new ApplyRequest(body.get("text").getAsString(), body.get("expectedVersion").getAsLong(),
					body.get("by").getAsString());
		}
		catch (JsonParseException | IllegalStateException | NullPointerException | NumberFormatException ex) {
			throw new OperatorException(OperatorErrorCode.MALFORMED_BODY,
					"the body must be a JSON object with the fields text, expectedVersion and by");
		}
	}

	private void fail(Context context, Throwable cause, StatusCode code) {
		OperatorException problem = problemOf(cause, code);
		context.setResponseCode(problem.code().status());
		context.setResponseType("application/problem+json");
		JsonObject body = new JsonObject();
		body.addProperty("type", "about:blank");
		body.addProperty("status", problem.code().status());
		body.addProperty("code", problem.code().wireName());
		body.addProperty("detail", problem.getMessage());
		context.setResponseHeader("Retry-After", Duration.ofSeconds(1).toSeconds());
		context.send(body.toString());
	}

	private static OperatorException problemOf(Throwable cause, StatusCode code) {
		if (cause instanceof OperatorException problem) {
			return problem;
		}
		if (cause instanceof IniException) {
			return new OperatorException(OperatorErrorCode.INVALID_CONFIGURATION, cause.getMessage());
		}
		if (cause instanceof PlatformException platform) {
			return new OperatorException(OperatorErrorCode.PLATFORM_UNAVAILABLE,
					platform.code() + ": " + platform.getMessage());
		}
		boolean notFound = code.value() == StatusCode.NOT_FOUND_CODE;
		return new OperatorException(notFound ? OperatorErrorCode.UNKNOWN_PATH : OperatorErrorCode.INTERNAL,
				String.valueOf(cause.getMessage()));
	}

	private static Object json(Context context, String body) {
		context.setResponseType("application/json");
		return body;
	}

}
