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
 * A stand-in of an endpoint: a model engine or a plain service.
 *
 * <p>
 * It bears few calls after a start and more with each answer; it tells its boot id and
 * its load with each answer; every run has an execution id and is counted.
 *
 * @author the wagtailmux developers
 */
public final class StandInEndpoint implements AutoCloseable {

	private static final int OVERLOADED_STATUS = 500;

	private final EndpointModel model;

	private final EndpointCounts counts = new EndpointCounts();

	private final Queue<EndpointFault> faults;

	private volatile String bootId;

	private volatile double slowness = 1;

	private volatile boolean failing;

	private StandInServer server;

	/**
	 * Starts an endpoint on any port.
	 * @param model how it behaves
	 * @param faults faults that its next calls show, one each; endpoints may share them
	 */
	public StandInEndpoint(EndpointModel model, Queue<EndpointFault> faults) {
		this(model, faults, 0);
	}

	/**
	 * Starts an endpoint.
	 * @param model how it behaves
	 * @param faults faults that its next calls show, one each
	 * @param port where it listens, or zero for any port
	 */
	public StandInEndpoint(EndpointModel model, Queue<EndpointFault> faults, int port) {
		this.model = model;
		this.faults = faults;
		boot(port);
	}

	/**
	 * Returns where it is called.
	 * @return the base address
	 */
	public URI address() {
		return this.server.address();
	}

	/**
	 * Returns what it counted.
	 * @return the counts, which go on
	 */
	public EndpointCounts counts() {
		return this.counts;
	}

	/**
	 * Returns how it behaves.
	 * @return the model
	 */
	public EndpointModel model() {
		return this.model;
	}

	/**
	 * Shows a fault on the next call, here or at an endpoint that shares faults with this
	 * one.
	 * @param fault the fault
	 */
	public void inject(EndpointFault fault) {
		this.faults.add(fault);
	}

	/**
	 * Makes all calls slower.
	 * @param factor how many times longer a call takes
	 */
	public void setSlowdown(double factor) {
		this.slowness = factor;
	}

	/**
	 * Makes all calls fail, or no longer.
	 * @param fail whether calls fail after they ran
	 */
	public void setFailing(boolean fail) {
		this.failing = fail;
	}

	/**
	 * Restarts the process: all connections break, and it is cold again.
	 */
	public void restart() {
		int port = this.server.port();
		this.server.close();
		boot(port);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void boot(int port) {
		this.bootId = UUID.randomUUID().toString();
		this.counts.restarted();
		this.server = new StandInServer(port, this::handle);
	}

	private void handle(HttpExchange exchange) throws IOException {
		exchange.getResponseHeaders().set(WireHeaders.BOOT_ID, this.bootId);
		if ("GET".equals(exchange.getRequestMethod())) {
			Answers.send(exchange, 200, "ready");
			return;
		}
		byte[] body = exchange.getRequestBody().readAllBytes();
		CallSpan span = this.counts.start(this.model);
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
		boolean crushed = span.inFlight() > this.model.concurrencyLimit(this.counts.answersSinceBoot())
				&& this.model.concurrencyLimit(this.counts.answersSinceBoot()) < this.model.warmLimit();
		Duration time = Duration.ofNanos((long) (this.model.callTime(span.inFlight()).toNanos() * this.slowness));
		if (this.model.protocol().streams()) {
			new CompletionAnswer(exchange, this.counts, span, this.model.tokens(), time, fault, crushed || this.failing)
				.send(body, callId);
			return;
		}
		Thread.sleep(time.toMillis(), time.toNanosPart() % 1_000_000);
		answerAtOnce(exchange, body, span, fault, crushed || this.failing);
	}

	private void answerAtOnce(HttpExchange exchange, String body, CallSpan span, EndpointFault fault, boolean fail)
			throws IOException {
		JsonObject call = JsonParser.parseString(body).getAsJsonObject();
		String callId = exchange.getRequestHeaders().getFirst(WireHeaders.CALL_ID);
		String executionId = UUID.randomUUID().toString();
		AnswerFormat format = AnswerFormat.of(this.model.protocol());
		this.counts.executed(format.input(call), executionId, callId);
		if (fail || fault == EndpointFault.FAIL_AFTER_RUN) {
			span.end(false);
			Answers.send(exchange, OVERLOADED_STATUS, "failed");
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
