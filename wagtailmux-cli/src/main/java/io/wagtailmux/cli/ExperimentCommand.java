package io.wagtailmux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.gson.GsonBuilder;

import io.wagtailmux.testbed.experiment.Experiment;
import io.wagtailmux.testbed.experiment.ExperimentOutcome;
import io.wagtailmux.testbed.experiment.ExperimentPolicy;
import io.wagtailmux.testbed.experiment.Scenario;

/**
 * Runs a scenario under a policy and under a baseline, one after the other, for one or
 * more seeds, and prints the outcomes in columns. Exits with {@link ExitCode#FAILED} if
 * the policy violated a guarantee; the baseline's violations are only printed.
 *
 * @author the wagtailmux developers
 */
@Command(name = "experiment", description = "Runs a scenario of load and faults under a policy and a baseline")
public final class ExperimentCommand implements CliCommand {

	@Arguments(title = "NAME", description = "The scenario, or 'list'")
	@Required
	private String name;

	@Option(name = "--seed", title = "N", description = "The first seed")
	private long seed = 1;

	@Option(name = "--seeds", title = "COUNT", description = "How many seeds to run, one after the other")
	private int seeds = 1;

	@Option(name = "--policy", title = "POLICY", description = "The policy")
	private ExperimentPolicy policy = ExperimentPolicy.STANDARD;

	@Option(name = "--baseline", title = "POLICY", description = "The policy to compare it with")
	private ExperimentPolicy baseline = ExperimentPolicy.ROUND_ROBIN_FIFO;

	@Option(name = "--no-baseline", description = "Runs the policy without a baseline")
	private boolean withoutBaseline;

	@Option(name = "--seconds", title = "SECONDS", description = "How long requests are sent")
	private int seconds = 15;

	@Option(name = "--instances", title = "COUNT", description = "The number of instances")
	private int instances = 3;

	@Option(name = "--json", title = "FILE", description = "Where to write the outcomes as JSON")
	private String outputFile;

	@Override
	public ExitCode run() {
		if ("list".equals(this.name)) {
			Arrays.stream(Scenario.values())
				.forEach((scenario) -> System.out.println(scenarioName(scenario) + ": " + scenario.description()));
			return ExitCode.DONE;
		}
		System.setProperty("wagtailmux.log.level", System.getProperty("wagtailmux.log.level", "ERROR"));
		Scenario scenario = scenario();
		List<ExperimentOutcome> outcomes = new ArrayList<>();
		for (long current = this.seed; current < this.seed + this.seeds; current++) {
			Experiment experiment = new Experiment(scenario, Duration.ofSeconds(this.seconds), current, this.instances);
			outcomes.add(experiment.run(this.policy));
			if (!this.withoutBaseline) {
				outcomes.add(experiment.run(this.baseline));
			}
			print(scenario, current,
					outcomes.subList(outcomes.size() - (this.withoutBaseline ? 1 : 2), outcomes.size()));
		}
		write(outcomes);
		boolean passed = outcomes.stream()
			.filter((outcome) -> outcome.policy() == this.policy)
			.allMatch((outcome) -> outcome.violations().isEmpty());
		return passed ? ExitCode.DONE : ExitCode.FAILED;
	}

	private Scenario scenario() {
		return Arrays.stream(Scenario.values())
			.filter((scenario) -> scenarioName(scenario).equals(this.name))
			.findFirst()
			.orElseThrow(() -> new CommandException(ExitCode.USAGE,
					"there is no scenario '" + this.name + "'; see 'wagtailmux experiment list'"));
	}

	private static String scenarioName(Scenario scenario) {
		return scenario.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static void print(Scenario scenario, long seed, List<ExperimentOutcome> outcomes) {
		System.out.println(scenarioName(scenario) + ", seed " + seed + ": " + scenario.description());
		printRow("policy", outcomes.stream().map((outcome) -> outcome.policy().toString()).toList());
		printRow("requests", outcomes.stream().map((outcome) -> "" + outcome.requests()).toList());
		printRow("attainment", outcomes.stream().map((outcome) -> format(outcome.attainment())).toList());
		printRow("attainment, small", outcomes.stream().map((outcome) -> format(outcome.smallAttainment())).toList());
		printRow("calls per served", outcomes.stream().map((outcome) -> format(outcome.callsPerServed())).toList());
		printRow("busy ms per served",
				outcomes.stream().map((outcome) -> format(outcome.busyMillisecondsPerServed())).toList());
		printRow("amplification", outcomes.stream().map((outcome) -> format(outcome.amplification())).toList());
		printRow("p50/p95/p99 ms",
				outcomes.stream()
					.map((outcome) -> outcome.medianMilliseconds() + "/" + outcome.p95Milliseconds() + "/"
							+ outcome.p99Milliseconds())
					.toList());
		printRow("violations", outcomes.stream().map((outcome) -> outcome.violations().toString()).toList());
		outcomes.forEach((outcome) -> System.out.println("  " + outcome.policy() + " endings " + outcome.endings()));
	}

	private static void printRow(String title, List<String> values) {
		StringBuilder line = new StringBuilder(String.format("  %-20s", title));
		values.forEach((value) -> line.append(String.format("%24s", value)));
		System.out.println(line);
	}

	private static String format(double value) {
		return String.format(Locale.ROOT, "%.3f", value);
	}

	private void write(List<ExperimentOutcome> outcomes) {
		if (this.outputFile == null) {
			return;
		}
		try {
			Files.writeString(Path.of(this.outputFile),
					new GsonBuilder().setPrettyPrinting().create().toJson(outcomes));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "cannot write " + this.outputFile);
		}
	}

}
