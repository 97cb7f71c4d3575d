package io.wagtailmux.engine;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * Counters and latency histograms of the engine. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
public final class EngineMetrics {

	private final MetricRegistry registry;

	private final Timer requestTime;

	private final Timer firstByteTime;

	private final Histogram batchPieces;

	private final Timer batchTime;

	private final Timer batchDelay;

	private final Counter batchBytes;

	private final Counter calls;

	private final Counter repeatedCalls;

	private final Counter abandonedRequests;

	private volatile ServingView view = ServingView.EMPTY;

	private volatile long storeEra;

	/**
	 * Creates the metrics.
	 * @param registry the registry that the metrics are added to
	 */
	public EngineMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.requestTime = registry.timer("request_time");
		this.firstByteTime = registry.timer("first_byte_time");
		this.batchPieces = registry.histogram("batch_pieces");
		this.batchTime = registry.timer("batch_time");
		this.batchDelay = registry.timer("batch_delay");
		this.batchBytes = registry.counter("batch_bytes_sent");
		this.calls = registry.counter("endpoint_calls");
		this.repeatedCalls = registry.counter("endpoint_calls_repeated");
		this.abandonedRequests = registry.counter("requests_left_by_callers");
		registry.gauge("configuration_version",
				() -> () -> this.view.configuration().map(ServingConfiguration::version).orElse(0L));
		registry.gauge("store_era_restored", () -> () -> this.storeEra);
		registry.gauge("instances_answering", () -> () -> this.view.peers().size());
		registry.gauge("instances_possibly_alive", () -> () -> this.view.instances());
		registry.gauge("endpoints_usable",
				() -> () -> this.view.endpoints().values().stream().filter(this.view::usable).count());
	}

	/**
	 * Returns the registry that holds the metrics.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Updates the view that the gauges read.
	 * @param view the newest view
	 */
	public void updateView(ServingView view) {
		this.view = view;
	}

	/**
	 * Records the end of a request, by status, and its duration.
	 * @param status the HTTP status sent to the caller; zero if the caller disconnected
	 * @param elapsed the time since the request arrived
	 */
	public void recordRequest(int status, Duration elapsed) {
		this.registry.counter("requests_" + status).inc();
		this.requestTime.update(elapsed.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Records a decision about prompt parts that may crash endpoints.
	 * @param decision what was decided, as the end of the counter's name
	 */
	public void recordPartDecision(String decision) {
		this.registry.counter("prompt_parts_" + decision).inc();
	}

	/**
	 * Records that an endpoint said for the first time that it is leaving.
	 */
	public void recordEndpointLeaving() {
		this.registry.counter("endpoints_leaving_by_answer").inc();
	}

	/**
	 * Records a refusal with which an endpoint named a time to stay away.
	 */
	public void recordEndpointAway() {
		this.registry.counter("endpoint_refusals_with_time").inc();
	}

	/**
	 * Records that the store was restored from a copy.
	 * @param era the era that has begun
	 */
	public void recordStoreRestored(long era) {
		this.registry.counter("store_restored").inc();
		this.storeEra = era;
	}

	/**
	 * Records the time to the first event of a streamed response.
	 * @param elapsed the time since the request arrived
	 */
	public void recordFirstByte(Duration elapsed) {
		this.firstByteTime.update(elapsed.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Records a call to an endpoint.
	 * @param repeated whether the request was already sent to an endpoint before
	 */
	public void recordCall(boolean repeated) {
		this.calls.inc();
		if (repeated) {
			this.repeatedCalls.inc();
		}
	}

	/**
	 * Records a call that executes a batch of pieces.
	 * @param pieces the number of pieces
	 * @param sentBytes the size of the request's body
	 */
	public void recordBatch(int pieces, int sentBytes) {
		this.batchPieces.update(pieces);
		this.batchBytes.inc(sentBytes);
	}

	/**
	 * Records the end of a call that executes a batch of pieces.
	 * @param took the duration of the call
	 * @param expected the expected duration
	 */
	public void recordBatchEnd(Duration took, Duration expected) {
		this.batchTime.update(took.toNanos(), TimeUnit.NANOSECONDS);
		this.batchDelay.update(Math.max(0, took.minus(expected).toNanos()), TimeUnit.NANOSECONDS);
	}

	/**
	 * Records the pieces that endpoints did not make.
	 * @param failures the number of pieces by reason
	 */
	public void recordPiecesNotMade(Map<PieceFailure, Long> failures) {
		failures.forEach(
				(failure, count) -> this.registry.counter("pieces_not_made_" + failure.name().toLowerCase(Locale.ROOT))
					.inc(count));
	}

	/**
	 * Records a request whose caller disconnected before the end of the answer.
	 */
	public void recordAbandoned() {
		this.abandonedRequests.inc();
	}

}
