package io.wagtailmux.testbed.measure;

import java.time.Duration;
import java.util.Optional;

import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;
import org.HdrHistogram.Histogram;

import io.wagtailmux.daemon.endpoint.CallResult;
import io.wagtailmux.daemon.endpoint.EndpointClient;
import io.wagtailmux.daemon.endpoint.StageCall;
import io.wagtailmux.daemon.endpoint.TokenSink;
import io.wagtailmux.daemon.endpoint.TokenStream;
import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.Pipeline;
import io.wagtailmux.model.PipelineId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.RequestId;
import io.wagtailmux.model.Stage;
import io.wagtailmux.model.SystemConfiguration;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.store.configuration.ConfigurationFormat;
import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.standin.StandInException;

/**
 * Measures the latency that an instance adds to a stage. Compares requests through an
 * instance with direct calls to the same endpoints, alternating in one run. Not
 * thread-safe.
 *
 * @author the wagtailmux developers
 */
public final class OverheadMeasurement {

	private static final PipelineId PIPELINE = new PipelineId("summary");

	private static final String TOKEN = "token-perth-listeners";

	private static final int WARM_UP_ROUNDS = 300;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

	private static final double NANOS_PER_MILLISECOND = 1e6;

	private final Histogram directNanos = new Histogram(3);

	private final Histogram throughNanos = new Histogram(3);

	private final CallerClient callerClient = new CallerClient();

	private final EndpointClient endpointClient = new EndpointClient(TimeSource.system());

	/**
	 * Runs the measurement on a deployment of its own, after a warm-up.
	 * @param rounds the number of requests to send through the instance, each with one
	 * direct call to every stage for comparison
	 * @return the added time per stage
	 * @throws StandInException if a request or a direct call fails
	 */
	public OverheadReport measure(int rounds) {
		try (LocalDeployment deployment = new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), 1,
				DispatchPolicy.STANDARD)) {
			SystemConfiguration configuration = ConfigurationFormat.read(deployment.endpoints().text());
			Pipeline pipeline = configuration.pipelines().get(PIPELINE);
			for (int round = 0; round < WARM_UP_ROUNDS + rounds; round++) {
				if (round == WARM_UP_ROUNDS) {
					this.directNanos.reset();
					this.throughNanos.reset();
				}
				this.directNanos.recordValue(callDirectly(configuration, pipeline, round));
				this.throughNanos.recordValue(callThroughInstance(deployment, round));
			}
			int stages = pipeline.stages().size();
			return new OverheadReport(rounds, stages, addedMilliseconds(50, stages), addedMilliseconds(99, stages),
					this.directNanos.getValueAtPercentile(50) / NANOS_PER_MILLISECOND,
					this.throughNanos.getValueAtPercentile(50) / NANOS_PER_MILLISECOND);
		}
	}

	private double addedMilliseconds(double percentile, int stages) {
		long difference = this.throughNanos.getValueAtPercentile(percentile)
				- this.directNanos.getValueAtPercentile(percentile);
		return difference / NANOS_PER_MILLISECOND / stages;
	}

	private long callThroughInstance(LocalDeployment deployment, int round) {
		CallerAnswer answer = this.callerClient.send(deployment.callerAddresses().get(0),
				ClientRequest.of(PIPELINE.value(), TOKEN, "round " + round));
		if (!answer.answered()) {
			throw new StandInException("request through the instance failed: " + answer, null);
		}
		return answer.elapsed().toNanos();
	}

	private long callDirectly(SystemConfiguration configuration, Pipeline pipeline, int round) {
		long start = System.nanoTime();
		JsonElement value = new JsonPrimitive("round " + round);
		for (Stage stage : pipeline.stages()) {
			Pool pool = configuration.pools().get(stage.pool());
			var endpoints = configuration.endpointsOf(pool.id());
			Endpoint endpoint = endpoints.get(round % endpoints.size());
			CallId id = new CallId(new RequestId("direct-" + round), stage.name(), 1);
			CallResult result = this.endpointClient.call(new StageCall(id, endpoint, pool.protocol(), Optional.empty(),
					value, CALL_TIMEOUT, new TokenStream(TokenSink.NONE)));
			value = result.output()
				.orElseThrow(() -> new StandInException("direct call failed: " + result.detail(), null));
		}
		return System.nanoTime() - start;
	}

}
