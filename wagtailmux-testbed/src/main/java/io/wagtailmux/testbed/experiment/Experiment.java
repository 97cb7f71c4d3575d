package io.wagtailmux.testbed.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.load.LoadGenerator;
import io.wagtailmux.testbed.load.LoadReport;
import io.wagtailmux.testbed.standin.EndpointCounts;
import io.wagtailmux.testbed.standin.StandInEndpoint;

/**
 * Runs a scenario under a policy. Each run has a new deployment.
 *
 * @author the wagtailmux developers
 */
public final class Experiment {

	private static final String BOTTLENECK_POOL = "reader-voices";

	private static final List<String> LARGE_ORGANISATIONS = List.of("perth-listeners", "bunbury-herald");

	private static final String GENERATION_TIME = "PT0.08S";

	private static final String SLOWER_GENERATION_TIME = "PT0.3S";

	// The time of a call that fills a batch of 8, the warm limit of the bottleneck pool,
	// divided by the time of a call on its own: 1 + 7/8, see EndpointModel.callTime.
	private static final double FULL_BATCH_FACTOR = 1.875;

	private final Scenario scenario;

	private final Duration duration;

	private final long seed;

	private final int instances;

	/**
	 * Creates an experiment.
	 * @param scenario the load and the faults
	 * @param duration how long requests are sent, without the warm-up
	 * @param seed the seed of the random arrivals and faults
	 * @param instances the number of instances
	 */
	public Experiment(Scenario scenario, Duration duration, long seed, int instances) {
		this.scenario = scenario;
		this.duration = duration;
		this.seed = seed;
		this.instances = instances;
	}

	/**
	 * Starts a deployment, runs the warm-up and the scenario, and stops the deployment.
	 * Blocks until all requests have ended.
	 * @param policy the policy that instances use
	 * @return the measured outcome
	 * @throws io.wagtailmux.testbed.standin.StandInException if an instance is not ready
	 * in time or the thread is interrupted
	 */
	public ExperimentOutcome run(ExperimentPolicy policy) {
		String text = ExampleConfiguration.PEMBERTON.text().replace(GENERATION_TIME, SLOWER_GENERATION_TIME);
		try (LocalDeployment deployment = new LocalDeployment(text, this.instances, policy.dispatchPolicy())) {
			double capacity = capacity(deployment);
			LoadGenerator generator = new LoadGenerator(deployment::callerAddresses);
			LoadReport warmUp = generator.run(this.scenario.warmUp(capacity, this.seed));
			Costs before = Costs.of(deployment);
			Thread faults = new Thread(
					() -> this.scenario.injectFaults(deployment, this.duration, new SplittableRandom(this.seed)),
					"faults");
			faults.start();
			LoadReport report = generator.run(this.scenario.plan(capacity, this.duration, this.seed));
			faults.interrupt();
			Map<String, Long> violations = Violations.of(report, deployment.endpoints());
			Violations.of(warmUp, deployment.endpoints())
				.forEach((name, count) -> violations.merge(name, count, Math::max));
			return outcome(policy, report, Costs.of(deployment).minus(before), violations);
		}
	}

	// Returns the requests per second that the bottleneck pool can serve.
	private static double capacity(LocalDeployment deployment) {
		List<StandInEndpoint> endpoints = deployment.endpoints().pool(BOTTLENECK_POOL);
		double seconds = endpoints.get(0).model().serviceTime().toNanos() / 1e9;
		return endpoints.size() * endpoints.get(0).model().warmLimit() / (seconds * FULL_BATCH_FACTOR);
	}

	private static ExperimentOutcome outcome(ExperimentPolicy policy, LoadReport report, Costs costs,
			Map<String, Long> violations) {
		long served = Math.max(1, report.served());
		return new ExperimentOutcome(policy, report.results().size(), report.served(), report.attainment(),
				report.attainment((result) -> !LARGE_ORGANISATIONS.contains(result.source().organisation())),
				(double) costs.calls / served, (double) costs.busyMilliseconds / served, costs.amplification(),
				report.percentile(50).toMillis(), report.percentile(95).toMillis(), report.percentile(99).toMillis(),
				violations, report.endings());
	}

	/**
	 * Counts of the endpoints since the start of the deployment, or the difference of two
	 * such counts.
	 */
	private record Costs(long calls, long busyMilliseconds, long generations, long generationRequests) {

		static Costs of(LocalDeployment deployment) {
			long busy = deployment.endpoints()
				.all()
				.values()
				.stream()
				.mapToLong((endpoint) -> endpoint.counts().busyTime().toMillis())
				.sum();
			List<String> runs = deployment.endpoints()
				.pool(BOTTLENECK_POOL)
				.stream()
				.flatMap((endpoint) -> endpoint.counts().runCalls().stream())
				.toList();
			long requests = runs.stream().map((call) -> call.split("/")[0]).collect(Collectors.toSet()).size();
			return new Costs(deployment.endpoints().sum(EndpointCounts::started), busy, runs.size(), requests);
		}

		Costs minus(Costs before) {
			return new Costs(this.calls - before.calls, this.busyMilliseconds - before.busyMilliseconds,
					this.generations - before.generations, this.generationRequests - before.generationRequests);
		}

		double amplification() {
			return (double) this.generations / Math.max(1, this.generationRequests);
		}

	}

}
