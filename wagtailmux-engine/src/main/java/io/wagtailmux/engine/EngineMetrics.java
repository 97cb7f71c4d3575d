package io.wagtailmux.engine;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import io.wagtailmux.engine.state.ServingView;
import io.wagtailmux.model.serving.ServingConfiguration;

/**
 * Counters and latency histograms of the engine.
 *
 * @author the wagtailmux developers
 */
public final class EngineMetrics {

	private final MetricRegistry registry;

	private final Timer requestTime;

	private final Timer firstByteTime;

	private final Histogram batchPieces;

	private final Counter calls;

	private final Counter repeats;

	private final Counter abandoned;

	private volatile ServingView view = ServingView.EMPTY;

	/**
	 * Creates the metrics.
	 * @param registry where they are kept
	 */
	public EngineMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.requestTime = registry.timer("request_time");
		this.firstByteTime = registry.timer("first_byte_time");
		this.batchPieces = registry.histogram("batch_pieces");
		this.calls = registry.counter("endpoint_calls");
		this.repeats = registry.counter("endpoint_calls_repeated");
		this.abandoned = registry.counter("requests_left_by_callers");
		registry.gauge("configuration_version",
				() -> () -> this.view.configuration().map(ServingConfiguration::version).orElse(0L));
		registry.gauge("instances_answering", () -> () -> this.view.peers().size());
		registry.gauge("instances_possibly_alive", () -> () -> this.view.instances());
		registry.gauge("endpoints_usable",
				() -> () -> this.view.endpoints().values().stream().filter(this.view::usable).count());
	}

	/**
	 * Returns where the metrics are kept.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Takes the newest view.
	 * @param view the view
	 */
	public void updateView(ServingView view) {
		this.view = view;
	}

	/**
	 * Counts the end of a request.
	 * @param status the status that the caller got
	 * @param took the time since it came
	 */
	public void recordRequest(int status, Duration took) {
		this.registry.counter("requests_" + status).inc();
		this.requestTime.update(took.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts the first byte of an answer.
	 * @param took the time since the request came
	 */
	public void recordFirstByte(Duration took) {
		this.firstByteTime.update(took.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts a call to an endpoint.
	 * @param repeated whether the request was sent to another one before
	 */
	public void recordCall(boolean repeated) {
		this.calls.inc();
		if (repeated) {
			this.repeats.inc();
		}
	}

	/**
	 * Counts a call that makes pieces.
	 * @param pieces the number of pieces
	 */
	public void recordBatch(int pieces) {
		this.batchPieces.update(pieces);
	}

	/**
	 * Counts a request whose caller left.
	 */
	public void recordAbandoned() {
		this.abandoned.inc();
	}

}
