package io.wagtailmux.testbed.experiment;

import java.util.Map;

/**
 * Measured outcome of a scenario under a policy.
 *
 * @param policy the policy
 * @param requests the number of requests sent
 * @param served the number of requests that received their own, whole answer by their
 * deadline
 * @param attainment the number served, divided by the number sent
 * @param smallAttainment the same ratio for the requests of the small organisations
 * @param callsPerServed the number of calls to endpoints per request served, or their
 * total if none was served
 * @param busyMillisecondsPerServed the summed time of all endpoint calls per request
 * served, or their total if none was served
 * @param amplification the number of calls that ran at the generation pool, per request
 * that ran there
 * @param medianMilliseconds the median latency of the requests that succeeded, measured
 * from their scheduled times; zero if none did
 * @param p95Milliseconds their 95th percentile
 * @param p99Milliseconds their 99th percentile
 * @param violations how often each guarantee was violated, by name; empty if none was
 * @param endings the number of requests by result: {@code ok}, or status, error code and
 * execution
 * @author the wagtailmux developers
 */
public record ExperimentOutcome(ExperimentPolicy policy, int requests, long served, double attainment,
		double smallAttainment, double callsPerServed, double busyMillisecondsPerServed, double amplification,
		long medianMilliseconds, long p95Milliseconds, long p99Milliseconds, Map<String, Long> violations,
		Map<String, Integer> endings) {

}
