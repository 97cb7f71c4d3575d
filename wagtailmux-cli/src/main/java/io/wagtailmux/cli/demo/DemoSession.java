package io.wagtailmux.cli.demo;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.google.gson.JsonObject;
import org.HdrHistogram.Histogram;

import io.wagtailmux.cli.ExitCode;
import io.wagtailmux.model.Organisation;
import io.wagtailmux.model.Pipeline;
import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.standin.EndpointCounts;

/**
 * Sends one request to each pipeline and checks the answers. A pipeline with a pool that
 * is not idempotent gets two requests with the same idempotency key, over different
 * instances if there are several, which must return the same output.
 *
 * @author the wagtailmux developers
 */
final class DemoSession {

	private static final double NANOS_PER_MILLISECOND = 1e6;

	private final CallerClient client = new CallerClient();

	private final List<CallerAnswer> answers = new ArrayList<>();

	private final LocalDeployment deployment;

	private final ExampleConfiguration example;

	private final boolean json;

	// The number of successful answers that do not contain the input of their request.
	private int crossed;

	// The number of repeated requests whose output differs from that of the first.
	private int doubled;

	/**
	 * Creates a session without sending requests.
	 * @param deployment the deployment; stays open
	 * @param example the configuration of the deployment
	 * @param json whether to print one JSON object instead of text
	 */
	DemoSession(LocalDeployment deployment, ExampleConfiguration example, boolean json) {
		this.deployment = deployment;
		this.example = example;
		this.json = json;
	}

	/**
	 * Sends the requests and prints the result.
	 * @return {@link ExitCode#DONE} if each request was answered with its own, whole
	 * answer and requests with the same key returned the same output, else
	 * {@link ExitCode#FAILED}
	 */
	ExitCode run() {
		List<Pipeline> pipelines = this.deployment.endpoints()
			.configuration()
			.pipelines()
			.values()
			.stream()
			.sorted((left, right) -> left.id().compareTo(right.id()))
			.toList();
		for (Pipeline pipeline : pipelines) {
			sendTo(pipeline);
		}
		report();
		long answered = this.answers.stream().filter(CallerAnswer::answered).count();
		boolean passed = answered == this.answers.size() && this.crossed == 0 && this.doubled == 0;
		return passed ? ExitCode.DONE : ExitCode.FAILED;
	}

	private void sendTo(Pipeline pipeline) {
		Organisation organisation = this.deployment.endpoints()
			.configuration()
			.organisations()
			.values()
			.stream()
			.min((left, right) -> left.id().compareTo(right.id()))
			.orElseThrow();
		String input = this.example.name().toLowerCase(Locale.ROOT) + " asks " + pipeline.id();
		ClientRequest request = ClientRequest.of(pipeline.id().value(), DemoCommand.tokenOf(organisation.id()), input);
		boolean atMostOnce = pipeline.stages()
			.stream()
			.anyMatch((stage) -> !this.deployment.endpoints().configuration().pools().get(stage.pool()).idempotent());
		if (!atMostOnce) {
			boolean streamed = this.deployment.endpoints()
				.configuration()
				.pools()
				.get(pipeline.stages().get(pipeline.stages().size() - 1).pool())
				.protocol()
				.streams();
			send(pipeline, input, streamed ? request.asStream() : request, 0);
			return;
		}
		ClientRequest keyed = request.withKey("demo-" + pipeline.id());
		JsonObject first = send(pipeline, input, keyed, 0);
		JsonObject second = send(pipeline, input, keyed, 1);
		if (!first.get("output").equals(second.get("output"))) {
			this.doubled++;
		}
	}

	private JsonObject send(Pipeline pipeline, String input, ClientRequest request, int instance) {
		URI address = this.deployment.callerAddresses().get(instance % this.deployment.callerAddresses().size());
		CallerAnswer answer = this.client.send(address, request);
		this.answers.add(answer);
		if (answer.answered() && !answer.body().toString().contains(input)) {
			this.crossed++;
		}
		if (!this.json) {
			System.out.println(pipeline.id() + (request.streamed() ? " (streamed)" : "") + ": " + answer.status() + " "
					+ answer.body());
		}
		return answer.body();
	}

	private void report() {
		long answered = this.answers.stream().filter(CallerAnswer::answered).count();
		JsonObject summary = new JsonObject();
		summary.addProperty("requests", this.answers.size());
		summary.addProperty("wholeAnswers", answered);
		summary.addProperty("doubled", this.doubled);
		summary.addProperty("lost", this.answers.size() - answered);
		summary.addProperty("crossed", this.crossed);
		summary.addProperty("coldOverloads", this.deployment.endpoints().sum(EndpointCounts::coldOverloads));
		if (this.json) {
			System.out.println(summary);
			return;
		}
		System.out.println();
		summary.entrySet().forEach((entry) -> System.out.printf("%-14s %s%n", entry.getKey(), entry.getValue()));
		System.out.println();
		System.out.printf("%-18s %8s %8s%n", "stages at pool", "p50 ms", "p95 ms");
		stageTimes().forEach((pool, times) -> System.out.printf(Locale.ROOT, "%-18s %8.1f %8.1f%n", pool,
				milliseconds(times, 50), milliseconds(times, 95)));
	}

	private Map<String, Histogram> stageTimes() {
		Map<String, Histogram> times = new TreeMap<>();
		this.deployment.endpoints().configuration().pools().keySet().forEach((pool) -> {
			Histogram histogram = new Histogram(3);
			this.deployment.endpoints()
				.pool(pool.value())
				.forEach((endpoint) -> endpoint.counts()
					.durations()
					.forEach((duration) -> histogram.recordValue(duration.toNanos())));
			if (histogram.getTotalCount() > 0) {
				times.put(pool.value(), histogram);
			}
		});
		return times;
	}

	private static double milliseconds(Histogram times, double percentile) {
		return times.getValueAtPercentile(percentile) / NANOS_PER_MILLISECOND;
	}

}
