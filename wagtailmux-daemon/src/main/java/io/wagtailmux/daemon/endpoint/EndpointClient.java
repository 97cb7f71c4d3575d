package io.wagtailmux.daemon.endpoint;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.BootId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.ModelException;
import io.wagtailmux.model.StageProtocol;
import io.wagtailmux.model.TimeSource;

/**
 * HTTP client for calls to endpoints.
 *
 * <p>
 * A call is never retried here, nor by the HTTP library. {@link CallOutcome#NOT_SENT}
 * means that no byte of the request was written. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class EndpointClient implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final int MAXIMUM_IDLE_CONNECTIONS = 1024;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

	private final TimeSource time;

	private final OkHttpClient client;

	/**
	 * Creates a client; connections are opened as calls need them.
	 * @param time the clock that measures the durations of calls
	 */
	public EndpointClient(TimeSource time) {
		this.time = time;
		BootVerifier verifier = new BootVerifier();
		this.client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectTimeout(CONNECT_TIMEOUT)
			.readTimeout(Duration.ZERO)
			.writeTimeout(Duration.ZERO)
			.connectionPool(new ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
			.addInterceptor(verifier::onCall)
			.addNetworkInterceptor(verifier::onConnection)
			.addNetworkInterceptor(new ResponseVerifier()::onConnection)
			.build();
	}

	/**
	 * Makes a call and blocks until it ends. Errors of the connection, error statuses and
	 * responses that are not valid JSON are part of the result and are not thrown.
	 * @param stageCall the call; its stream receives the tokens of a streamed answer
	 * @return the result of the call
	 * @throws RuntimeException if a field or an element of a response that is not
	 * streamed is missing or has the wrong type, or if the response to the probe of a new
	 * connection has an invalid boot id
	 */
	public CallResult call(StageCall stageCall) {
		Duration start = this.time.elapsed();
		Attempt attempt = new Attempt(stageCall.boot());
		Call call = this.client.newCall(request(stageCall, attempt));
		call.timeout().timeout(Math.max(1, stageCall.timeout().toMillis()), TimeUnit.MILLISECONDS);
		try (Response response = call.execute()) {
			return read(stageCall, call, response, start);
		}
		catch (InterruptedIOException ex) {
			CallOutcome outcome = attempt.sent() ? CallOutcome.TIMED_OUT : CallOutcome.NOT_SENT;
			return failure(outcome, start, attempt.actualBoot(), "timed out: " + ex.getMessage());
		}
		catch (IOException ex) {
			boolean cancelled = attempt.sent() && !stageCall.stream().isAccepting();
			CallOutcome sentOutcome = cancelled ? CallOutcome.ABANDONED : CallOutcome.BROKEN;
			return failure(attempt.sent() ? sentOutcome : CallOutcome.NOT_SENT, start, attempt.actualBoot(),
					ex.toString());
		}
	}

	/**
	 * Sends a health probe to an endpoint and blocks until it ends.
	 * @param endpoint the endpoint
	 * @param protocol the protocol, which determines the path of the probe
	 * @return the incarnation of the endpoint's process, or empty if the endpoint is not
	 * healthy, reported no valid boot id, or did not answer within one second
	 */
	public Optional<BootId> probe(Endpoint endpoint, StageProtocol protocol) {
		Request request = new Request.Builder().url(endpoint.address().resolve(protocol.healthPath()).toString())
			.build();
		Call call = this.client.newCall(request);
		call.timeout().timeout(PROBE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		try (Response response = call.execute()) {
			return response.isSuccessful() ? boot(response) : Optional.empty();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	private static Request request(StageCall call, Attempt attempt) {
		StageFormat format = StageFormat.of(call.protocol());
		Request.Builder request = new Request.Builder()
			.url(call.endpoint().address().resolve(call.protocol().path()).toString())
			.header(WireHeaders.CALL_ID, call.id().toString())
			.header(WireHeaders.DEADLINE_MILLISECONDS, Long.toString(call.timeout().toMillis()))
			.post(RequestBody.create(format.body(call).toString(), JSON))
			.tag(Attempt.class, attempt)
			.tag(StageProtocol.class, call.protocol());
		if (call.stream().receivedTokens() > 0) {
			request.header(WireHeaders.LAST_EVENT_ID, Integer.toString(call.stream().receivedTokens() - 1));
		}
		return request.build();
	}

	private CallResult read(StageCall stageCall, Call call, Response response, Duration start) throws IOException {
		if (!stageCall.id().toString().equals(response.header(WireHeaders.CALL_ID))) {
			return failure(CallOutcome.CROSSED, start, boot(response),
					"response is for another call: " + response.header(WireHeaders.CALL_ID));
		}
		if (!response.isSuccessful()) {
			boolean notRun = WireHeaders.NOT_RUN.equals(response.header(WireHeaders.EXECUTION));
			return failure(notRun ? CallOutcome.REFUSED : CallOutcome.FAILED, start, boot(response),
					"status " + response.code());
		}
		try {
			JsonElement output = StageFormat.of(stageCall.protocol()).read(stageCall, call, response);
			return new CallResult(CallOutcome.ANSWERED, Optional.of(output), elapsedSince(start), boot(response),
					load(response), "status " + response.code());
		}
		catch (JsonParseException | IllegalStateException | NumberFormatException ex) {
			return failure(CallOutcome.FAILED, start, boot(response), "malformed response: " + ex.getMessage());
		}
	}

	private CallResult failure(CallOutcome outcome, Duration start, Optional<BootId> boot, String detail) {
		return new CallResult(outcome, Optional.empty(), elapsedSince(start), boot, OptionalInt.empty(), detail);
	}

	private Duration elapsedSince(Duration start) {
		return this.time.elapsed().minus(start);
	}

	private static Optional<BootId> boot(Response response) {
		try {
			return Optional.ofNullable(response.header(WireHeaders.BOOT_ID)).map(BootId::new);
		}
		catch (ModelException ex) {
			return Optional.empty();
		}
	}

	private static OptionalInt load(Response response) {
		String load = response.header(WireHeaders.LOAD);
		boolean number = load != null && load.matches("\\d{1,6}");
		return number ? OptionalInt.of(Integer.parseInt(load)) : OptionalInt.empty();
	}

}
