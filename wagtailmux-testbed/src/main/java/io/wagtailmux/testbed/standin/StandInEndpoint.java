package io.wagtailmux.testbed.standin;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.UUID;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;

import io.wagtailmux.daemon.endpoint.WireHeaders;

/**
 * A stand-in of an endpoint, which is an inference engine or a plain service.
 *
 * <p>
 * After a start it has a low concurrency limit, which rises with the number of answers,
 * and calls above the limit fail until the endpoint is warm. Each response states the id
 * of the incarnation, and that to a call also the number of calls in flight; each
 * execution has an id and is recorded. Faults may be set by any thread; {@link #restart}
 * and {@link #close} must not run concurrently.
 *
 * @author the wagtailmux developers
 */
public final class StandInEndpoint implements AutoCloseable {

	private static final int FAILURE_STATUS = 500;

	private final EndpointModel model;

	private final EndpointCounts counts = new EndpointCounts();

	private final Queue<EndpointFault> faults;

	private volatile String bootId;

	private volatile double slowdown = 1;

	private volatile boolean failing;

	private StandInServer server;

	/**
	 * Starts an endpoint on a free port.
	 * @param model the model of its behaviour
	 * @param faults a thread-safe queue of faults, from which each call takes one;
	 * endpoints may share it
	 */
	public StandInEndpoint(EndpointModel model, Queue<EndpointFault> faults) {
		this(model, faults, 0);
	}

	/**
	 * Starts an endpoint.
	 * @param model the model of its behaviour
	 * @param faults a thread-safe queue of faults, from which each call takes one;
	 * endpoints may share it
	 * @param port the port to listen on, or zero for a free port
	 * @throws StandInException if it cannot listen on the port
	 */
	public StandInEndpoint(EndpointModel model, Queue<EndpointFault> faults, int port) {
		this.model = model;
		this.faults = faults;
		start(port);
	}

	/**
	 * Returns the address at which it listens.
	 * @return the base address
	 */
	public URI address() {
		return this.server.address();
	}

	/**
	 * Returns the counts of its calls.
	 * @return the counts, which are updated by further calls
	 */
	public EndpointCounts counts() {
		return this.counts;
	}

	/**
	 * Returns the model of its behaviour.
	 * @return the model
	 */
	public EndpointModel model() {
		return this.model;
	}

	/**
	 * Injects a fault into the next call to this endpoint or to one with the same queue
	 * of faults.
	 * @param fault the fault
	 */
	public void inject(EndpointFault fault) {
		this.faults.add(fault);
	}

	/**
	 * Sets the factor by which the time of calls is multiplied.
	 * @param factor the factor; one for the time of the model
	 */
	public void setSlowdown(double factor) {
		this.slowdown = factor;
	}

	/**
	 * Sets whether all calls fail.
	 * @param fail whether calls are answered with an error after they were executed
	 */
	public void setFailing(boolean fail) {
		this.failing = fail;
	}

	/**
	 * Restarts the endpoint on the same port: all connections are closed, and it is cold
	 * and has another incarnation id. Its counts continue.
	 * @throws StandInException if the port has been taken by another process
	 */
	public void restart() {
		int port = this.server.port();
		this.server.close();
		start(port);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void start(int port) {
		this.bootId = UUID.randomUUID().toString();
		this.counts.onRestart();
		this.server = new StandInServer(port, this::handle);
	}

	private void handle(HttpExchange exchange) throws IOException {
		exchange.getResponseHeaders().set(WireHeaders.BOOT_ID, this.bootId);
		if ("GET".equals(exchange.getRequestMethod())) {
			Answers.send(exchange, 200, "ready");
			return;
		}
		byte[] body = exchange.getRequestBody().readAllBytes();
		CallSpan span = this.counts.startCall(this.model);
		try {
			answer(exchange, new String(body, StandardCharsets.UTF_8), span);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			span.end(false);
			exchange.close();
		}
	}

	private void answer(HttpExchange exchange, String body, CallSpan span) throws IOException, InterruptedException {
		String callId = exchange.getRequestHeaders().getFirst(WireHeaders.CALL_ID);
		EndpointFault fault = this.faults.poll();
		exchange.getResponseHeaders()
			.set(WireHeaders.CALL_ID, (fault == EndpointFault.CROSS_ANSWER) ? "another/call/1" : callId);
		exchange.getResponseHeaders().set(WireHeaders.LOAD, Integer.toString(span.inFlight()));
		if (fault == EndpointFault.REFUSE_NOT_RUN) {
			exchange.getResponseHeaders().set(WireHeaders.EXECUTION, WireHeaders.NOT_RUN);
			span.end(false);
			Answers.send(exchange, 503, "refused");
			return;
		}
		if (fault == EndpointFault.BREAK_BEFORE_RUN) {
			return;
		}
		boolean overloaded = span.inFlight() > this.model.concurrencyLimit(this.counts.answersSinceBoot())
				&& this.model.concurrencyLimit(this.counts.answersSinceBoot()) < this.model.warmLimit();
		Duration time = Duration.ofNanos((long) (this.model.callTime(span.inFlight()).toNanos() * this.slowdown));
		if (this.model.protocol().streams()) {
			new CompletionAnswer(exchange, this.counts, span, this.model.tokens(), time, fault,
					overloaded || this.failing)
				.send(body, callId);
			return;
		}
		Thread.sleep(time.toMillis(), time.toNanosPart() % 1_000_000);
		answerWhole(exchange, body, span, fault, overloaded || this.failing);
	}

	private void answerWhole(HttpExchange exchange, String body, CallSpan span, EndpointFault fault, boolean fail)
			throws IOException {
		JsonObject call = JsonParser.parseString(body).getAsJsonObject();
		String callId = exchange.getRequestHeaders().getFirst(WireHeaders.CALL_ID);
		String executionId = UUID.randomUUID().toString();
		AnswerFormat format = AnswerFormat.of(this.model.protocol());
		this.counts.recordExecution(format.input(call), executionId, callId);
		if (fail || fault == EndpointFault.FAIL_AFTER_RUN) {
			span.end(false);
			Answers.send(exchange, FAILURE_STATUS, "failed");
			return;
		}
		String answer = format.answer(call, executionId, callId);
		if (fault == EndpointFault.BREAK_MID_ANSWER) {
			Answers.sendHalf(exchange, answer);
			return;
		}
		span.end(true);
		Answers.send(exchange, 200, (fault == EndpointFault.MALFORMED_ANSWER) ? "{" : answer);
	}

}
