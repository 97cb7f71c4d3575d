package io.wagtailmux.daemon.traffic;

import java.time.Duration;

import com.google.gson.JsonElement;

import io.wagtailmux.daemon.endpoint.EndpointClient;
import io.wagtailmux.model.TimeSource;

/**
 * Runs requests through the stages of their pipelines. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class PipelineRunner {

	private final EndpointClient client;

	private final CallListener callListener;

	private final TrafficMetrics metrics;

	private final TimeSource time;

	private final DecisionLog log = new DecisionLog();

	/**
	 * Creates a runner.
	 * @param client calls endpoints
	 * @param callListener receives the result of each call
	 * @param metrics counts requests and calls
	 * @param time the clock for deadlines
	 */
	public PipelineRunner(EndpointClient client, CallListener callListener, TrafficMetrics metrics, TimeSource time) {
		this.client = client;
		this.callListener = callListener;
		this.metrics = metrics;
		this.time = time;
	}

	/**
	 * Runs a request and blocks until it has ended.
	 * @param request the request
	 * @param view the control state, which stays the same for all stages of the request
	 * @return the output of the last stage
	 * @throws RequestException if the request is refused or fails
	 */
	public JsonElement run(PipelineRequest request, TrafficView view) {
		Duration start = this.time.elapsed();
		PipelineRun run = new PipelineRun(request, view, this);
		JsonElement output = run.run();
		this.metrics.recordAnswer(request.pipeline().id(), this.time.elapsed().minus(start));
		return output;
	}

	EndpointClient client() {
		return this.client;
	}

	CallListener callListener() {
		return this.callListener;
	}

	TrafficMetrics metrics() {
		return this.metrics;
	}

	TimeSource time() {
		return this.time;
	}

	DecisionLog log() {
		return this.log;
	}

}
