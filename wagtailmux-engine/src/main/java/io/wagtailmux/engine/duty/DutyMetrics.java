package io.wagtailmux.engine.duty;

import com.codahale.metrics.MetricRegistry;

/**
 * Metrics of the duties. Safe for use by several threads.
 *
 * @author the wagtailmux developers
 */
final class DutyMetrics {

	private final MetricRegistry registry;

	private volatile long token;

	private volatile boolean held;

	private volatile long leaseAgeMillis;

	private volatile long openWindows;

	DutyMetrics(MetricRegistry registry) {
		this.registry = registry;
		registry.gauge("duty_token", () -> () -> this.token);
		registry.gauge("duty_held", () -> () -> this.held ? 1 : 0);
		registry.gauge("duty_lease_age_ms", () -> () -> this.leaseAgeMillis);
		registry.gauge("usage_windows_open", () -> () -> this.openWindows);
	}

	void update(long highestToken, boolean isHolder, long ageMillis, long windows) {
		this.token = highestToken;
		this.held = isHolder;
		this.leaseAgeMillis = ageMillis;
		this.openWindows = windows;
	}

	void recordFixed(boolean complete) {
		this.registry.counter(complete ? "usage_reports_fixed" : "usage_reports_fixed_incomplete").inc();
	}

	void recordReport(boolean accepted) {
		this.registry.counter(accepted ? "usage_reports_accepted" : "usage_report_calls_failed").inc();
	}

	void recordLateReport() {
		this.registry.counter("usage_reports_late").inc();
	}

	void recordLateCounts(long requests) {
		this.registry.counter("usage_requests_counted_late").inc(requests);
	}

	void recordOrder(boolean accepted) {
		this.registry.counter(accepted ? "capacity_orders_accepted" : "capacity_order_calls_failed").inc();
	}

}
