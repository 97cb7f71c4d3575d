package io.wagtailmux.daemon.traffic;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.PipelineId;
import io.wagtailmux.model.PoolId;

/**
 * Counts what happens to requests and calls.
 *
 * @author the wagtailmux developers
 */
public final class TrafficMetrics {

	private final MetricRegistry registry;

	/**
	 * Creates metrics that are kept in a registry.
	 * @param registry the registry
	 */
	public TrafficMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Counts a request that was answered.
	 * @param pipeline its pipeline
	 * @param took how long it took
	 */
	void answered(PipelineId pipeline, Duration took) {
		this.registry.timer("requests.answered." + pipeline).update(took.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts a request that ended in an error.
	 * @param code the error
	 */
	public void recordFailure(ProblemCode code) {
		this.registry.counter("requests.failed." + code.word()).inc();
	}

	/**
	 * Counts a call.
	 * @param pool the pool that was called
	 * @param outcome how the call ended
	 * @param took how long it took
	 */
	void called(PoolId pool, CallOutcome outcome, Duration took) {
		String word = outcome.name().toLowerCase(Locale.ROOT);
		this.registry.timer("calls." + pool + "." + word).update(took.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts an attempt that follows a failed one.
	 * @param pool the pool
	 */
	void retried(PoolId pool) {
		this.registry.counter("retries." + pool).inc();
	}

	/**
	 * Measures how long a ticket waited.
	 * @param pool the pool
	 * @param waited how long
	 */
	void waited(PoolId pool, Duration waited) {
		this.registry.timer("waits." + pool).update(waited.toNanos(), TimeUnit.NANOSECONDS);
	}

}
