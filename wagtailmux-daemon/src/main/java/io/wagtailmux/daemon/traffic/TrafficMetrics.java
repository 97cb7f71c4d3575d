package io.wagtailmux.daemon.traffic;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.PipelineId;
import io.wagtailmux.model.PoolId;

/**
 * Records the outcomes and durations of requests, calls, retries and waits. Safe for use
 * by several threads.
 *
 * @author the wagtailmux developers
 */
public final class TrafficMetrics {

	private final MetricRegistry registry;

	/**
	 * Creates an object that adds each metric to a registry when it is first recorded.
	 * @param registry the registry, which several objects may share
	 */
	public TrafficMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Records a request that was answered.
	 * @param pipeline the pipeline of the request
	 * @param duration the time that the request took
	 */
	void recordAnswer(PipelineId pipeline, Duration duration) {
		this.registry.timer("requests.answered." + pipeline).update(duration.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Records a request that was refused or failed.
	 * @param code the error code
	 */
	public void recordFailure(ProblemCode code) {
		this.registry.counter("requests.failed." + code.wireName()).inc();
	}

	/**
	 * Records a call.
	 * @param pool the pool that was called
	 * @param outcome the outcome of the call
	 * @param duration the time that the call took
	 */
	void recordCall(PoolId pool, CallOutcome outcome, Duration duration) {
		String outcomeName = outcome.name().toLowerCase(Locale.ROOT);
		this.registry.timer("calls." + pool + "." + outcomeName).update(duration.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Records a retry.
	 * @param pool the pool of the stage
	 */
	void recordRetry(PoolId pool) {
		this.registry.counter("retries." + pool).inc();
	}

	/**
	 * Records the time that a ticket was queued.
	 * @param pool the pool
	 * @param waitingTime the time until the ticket was assigned
	 */
	void recordWait(PoolId pool, Duration waitingTime) {
		this.registry.timer("waits." + pool).update(waitingTime.toNanos(), TimeUnit.NANOSECONDS);
	}

}
