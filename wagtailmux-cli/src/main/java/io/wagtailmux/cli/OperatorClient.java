package io.wagtailmux.cli;

import java.io.IOException;
import java.time.Duration;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Blocking HTTP client of the operators' interface of one instance. A call takes at most
 * 20 s. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class OperatorClient {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

	private static final int CONFLICT = 409;

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORISED = 401;

	private static final int NOT_FOUND = 404;

	private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(CALL_TIMEOUT).build();

	private final String address;

	private final String token;

	/**
	 * Creates a client without connecting.
	 * @param address the URL of the operators' interface, without a path
	 * @param token the operators' token
	 * @throws CommandException if the address is not an HTTP URL
	 */
	OperatorClient(String address, String token) {
		if (HttpUrl.parse(address) == null) {
			throw new CommandException(ExitCode.USAGE, "--operator: '" + address + "' is not an HTTP URL");
		}
		this.address = address;
		this.token = token;
	}

	String address() {
		return this.address;
	}

	/**
	 * Sends a GET request.
	 * @param path the path, with its leading slash
	 * @return the body of the response
	 * @throws CommandException if the instance cannot be reached or responds with an
	 * error
	 */
	JsonObject get(String path) {
		return send(new Request.Builder().url(this.address + path));
	}

	/**
	 * Sends a POST request.
	 * @param path the path, with its leading slash
	 * @param body the body of the request
	 * @return the body of the response
	 * @throws CommandException if the instance cannot be reached or responds with an
	 * error
	 */
	JsonObject post(String path, JsonObject body) {
		return send(new Request.Builder().url(this.address + path).post(RequestBody.create(body.toString(), JSON)));
	}

	private JsonObject send(Request.Builder request) {
		try (Response response = this.client.newCall(request.header("Authorization", "Bearer " + this.token).build())
			.execute()) {
			JsonObject body = JsonParser.parseString(response.body().string()).getAsJsonObject();
			if (!response.isSuccessful()) {
				throw new CommandException(exitCode(response.code()), this.address + ": "
						+ body.get("code").getAsString() + System.lineSeparator() + body.get("detail").getAsString());
			}
			return body;
		}
		catch (IOException | JsonParseException | IllegalStateException ex) {
			throw new CommandException(ExitCode.UNREACHABLE, this.address + ": " + ex.getMessage());
		}
	}

	private static ExitCode exitCode(int status) {
		return switch (status) {
			case CONFLICT -> ExitCode.CONFLICT;
			case BAD_REQUEST, UNAUTHORISED, NOT_FOUND -> ExitCode.USAGE;
			default -> ExitCode.UNREACHABLE;
		};
	}

}
