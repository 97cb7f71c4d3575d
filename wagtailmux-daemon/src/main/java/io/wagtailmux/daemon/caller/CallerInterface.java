package io.wagtailmux.daemon.caller;

import java.io.IOException;
import java.io.StringWriter;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.wagtailmux.daemon.claim.ClaimedRequests;
import io.wagtailmux.daemon.endpoint.TokenSink;
import io.wagtailmux.daemon.settings.CallerLimits;
import io.wagtailmux.daemon.traffic.Execution;
import io.wagtailmux.daemon.traffic.PipelineRequest;
import io.wagtailmux.daemon.traffic.PipelineRunner;
import io.wagtailmux.daemon.traffic.ProblemCode;
import io.wagtailmux.daemon.traffic.RequestException;
import io.wagtailmux.daemon.traffic.TrafficMetrics;
import io.wagtailmux.daemon.traffic.TrafficView;
import io.wagtailmux.model.RequestId;
import io.wagtailmux.model.TimeSource;

/**
 * HTTP interface for callers: {@code POST /v1/pipelines/{pipeline}/requests},
 * {@code GET /healthz}, {@code GET /readyz} and {@code GET /metrics}.
 *
 * <p>
 * The event loop threads of the HTTP library only check the limit on concurrent requests;
 * each accepted request then runs on its own thread.
 *
 * @author the wagtailmux developers
 */
public final class CallerInterface implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(CallerInterface.class);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final ExecutorService requestThreads = Executors.newCachedThreadPool();

	private final CollectorRegistry collectors = new CollectorRegistry();

	private final InFlightRequests inFlight;

	private final RequestReader reader;

	private final ControlView control;

	private final PipelineRunner runner;

	private final ClaimedRequests claims;

	private final TrafficMetrics metrics;

	/**
	 * Creates the interface, which does not listen by itself; see {@link #application()}.
	 * @param limits the limits on requests
	 * @param control provides the latest control state
	 * @param runner runs requests
	 * @param claims runs requests with an idempotency key at most once
	 * @param registry the metrics to publish; failed requests are counted in it
	 * @param time the clock for the deadlines of requests
	 */
	public CallerInterface(CallerLimits limits, ControlView control, PipelineRunner runner, ClaimedRequests claims,
			MetricRegistry registry, TimeSource time) {
		this.inFlight = new InFlightRequests(limits.concurrentRequests());
		this.reader = new RequestReader(limits, time);
		this.control = control;
		this.runner = runner;
		this.claims = claims;
		this.metrics = new TrafficMetrics(registry);
		this.collectors.register(new DropwizardExports(registry));
	}

	/**
	 * Returns the routes of this interface.
	 * @return the application for an HTTP server
	 */
	public Jooby application() {
		Jooby application = new Jooby();
		application.setExecutionMode(ExecutionMode.EVENT_LOOP);
		application.post("/v1/pipelines/{pipeline}/requests", this::accept);
		application.get("/healthz", (context) -> "ok");
		application.get("/readyz", this::ready);
		application.get("/metrics", this::metricsText);
		application.error((context, cause, code) -> sendProblem(context, newRequestId(), problemOf(cause, code)));
		return application;
	}

	/**
	 * Makes the readiness check report that the instance is not ready. Requests are still
	 * accepted, so that load balancers have time to notice.
	 */
	public void markNotReady() {
		this.inFlight.markNotReady();
	}

	/**
	 * Rejects new requests and waits for those in flight.
	 * @param timeout the maximum time to wait
	 * @return whether all requests in flight ended within the timeout; {@code false} also
	 * if the thread is interrupted
	 */
	public boolean drain(Duration timeout) {
		this.inFlight.stopAdmitting();
		return this.inFlight.awaitCompletion(timeout);
	}

	/**
	 * Interrupts the threads of requests in flight and does not wait for them. The
	 * objects passed to the constructor stay open.
	 */
	@Override
	public void close() {
		this.requestThreads.shutdownNow();
	}

	private Object ready(Context context) {
		boolean ready = this.inFlight.ready() && this.control.ready();
		context.setResponseCode(ready ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE);
		return ready ? "ready" : "not ready";
	}

	private Object metricsText(Context context) throws IOException {
		StringWriter writer = new StringWriter();
		TextFormat.write004(writer, this.collectors.metricFamilySamples());
		context.setResponseType(TextFormat.CONTENT_TYPE_004);
		return writer.toString();
	}

	private Object accept(Context context) {
		RequestId id = newRequestId();
		if (!this.inFlight.tryAcquire()) {
			sendProblem(context, id, RequestException.notRun(ProblemCode.OVERLOADED, RETRY_AFTER,
					"the limit of concurrent requests is reached"));
			return context;
		}
		return context.dispatch(this.requestThreads, () -> {
			try {
				serve(context, id);
			}
			finally {
				this.inFlight.release();
			}
		});
	}

	private void serve(Context context, RequestId id) {
		boolean streamed = context.header("Accept").value("").contains("text/event-stream");
		EventStream stream = streamed ? new EventStream(context) : null;
		try {
			JsonElement output = run(context, id, streamed ? stream : TokenSink.NONE);
			JsonObject answer = new JsonObject();
			answer.addProperty("requestId", id.value());
			answer.add("output", output);
			if (streamed) {
				stream.end("answer", answer);
			}
			else {
				context.setResponseType("application/json");
				context.send(answer.toString());
			}
		}
		catch (RequestException ex) {
			endWithProblem(context, id, stream, ex);
		}
		catch (RuntimeException ex) {
			LOG.error("request {} failed with an unexpected error", id, ex);
			endWithProblem(context, id, stream,
					new RequestException(ProblemCode.INTERNAL, Execution.UNKNOWN, Optional.empty(), ex.toString()));
		}
	}

	private JsonElement run(Context context, RequestId id, TokenSink sink) {
		TrafficView view = this.control.view();
		if (!this.inFlight.isAdmitting() || view.accepted().version() == 0) {
			throw RequestException.notRun(ProblemCode.NOT_READY, RETRY_AFTER, this.inFlight.isAdmitting()
					? "no configuration has been accepted yet" : "the instance is shutting down");
		}
		PipelineRequest request = this.reader.read(context, id, view.accepted().configuration(), sink);
		if (request.key().isPresent() && view.hasNonIdempotentStage(request.pipeline())) {
			return this.claims.run(request, context.body().bytes(), () -> this.runner.run(request, view));
		}
		return this.runner.run(request, view);
	}

	private void endWithProblem(Context context, RequestId id, EventStream stream, RequestException problem) {
		if (stream != null && stream.started()) {
			this.metrics.recordFailure(problem.code());
			stream.end("problem", ProblemDetails.body(id.value(), problem));
			return;
		}
		sendProblem(context, id, problem);
	}

	private void sendProblem(Context context, RequestId id, RequestException problem) {
		this.metrics.recordFailure(problem.code());
		LOG.atInfo()
			.addKeyValue("request", id)
			.addKeyValue("code", problem.code().wireName())
			.addKeyValue("execution", problem.execution().wireName())
			.addKeyValue("why", problem.getMessage())
			.log("request failed");
		ProblemDetails.send(context, id.value(), problem);
	}

	private static RequestException problemOf(Throwable cause, StatusCode code) {
		if (cause instanceof RequestException problem) {
			return problem;
		}
		ProblemCode problem = switch (code.value()) {
			case StatusCode.NOT_FOUND_CODE -> ProblemCode.UNKNOWN_PATH;
			case StatusCode.METHOD_NOT_ALLOWED_CODE -> ProblemCode.METHOD_NOT_ALLOWED;
			case StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE -> ProblemCode.BODY_TOO_LARGE;
			case StatusCode.BAD_REQUEST_CODE -> ProblemCode.INVALID_HEADER;
			default -> ProblemCode.INTERNAL;
		};
		return RequestException.invalid(problem, String.valueOf(cause.getMessage()));
	}

	private static RequestId newRequestId() {
		return new RequestId(UUID.randomUUID().toString());
	}

}
