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
 * Measures what an instance adds to the time of a stage: requests through an instance
 * against direct calls to the same endpoints, in turn, in one run.
 *
 * @author the wagtailmux developers
 */
public final class OverheadMeasurement {

	private static final PipelineId PIPELINE = new PipelineId("summary");

	private static final String TOKEN = "token-perth-listeners";

	private static final int WARM_UP_ROUNDS = 300;

	private static final Duration CALL_LIMIT = Duration.ofSeconds(5);

	private static final double NANOS_PER_MILLISECOND = 1e6;

	private final Histogram direct = new Histogram(3);

	private final Histogram through = new Histogram(3);

	private final CallerClient caller = new CallerClient();

	private final EndpointClient client = new EndpointClient(TimeSource.system());

	/**
	 * Measures.
	 * @param rounds how many requests to send each way
	 * @return the added time per stage
	 */
	public OverheadReport measure(int rounds) {
		try (LocalDeployment deployment = new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), 1,
				DispatchPolicy.STANDARD)) {
			SystemConfiguration configuration = ConfigurationFormat.read(deployment.endpoints().text());
			Pipeline pipeline = configuration.pipelines().get(PIPELINE);
			for (int round = 0; round < WARM_UP_ROUNDS + rounds; round++) {
				if (round == WARM_UP_ROUNDS) {
					this.direct.reset();
					this.through.reset();
				}
				this.direct.recordValue(callDirectly(configuration, pipeline, round));
				this.through.recordValue(callThrough(deployment, round));
			}
			int stages = pipeline.stages().size();
			return new OverheadReport(rounds, stages, added(50, stages), added(99, stages),
					this.direct.getValueAtPercentile(50) / NANOS_PER_MILLISECOND,
					this.through.getValueAtPercentile(50) / NANOS_PER_MILLISECOND);
		}
	}

	private double added(double percentile, int stages) {
		long difference = this.through.getValueAtPercentile(percentile) - this.direct.getValueAtPercentile(percentile);
		return difference / NANOS_PER_MILLISECOND / stages;
	}

	private long callThrough(LocalDeployment deployment, int round) {
		CallerAnswer answer = this.caller.send(deployment.callerAddresses().get(0),
				ClientRequest.of(PIPELINE.value(), TOKEN, "round " + round));
		if (!answer.answered()) {
			throw new StandInException("not answered: " + answer, null);
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
			CallResult result = this.client.call(new StageCall(id, endpoint, pool.protocol(), Optional.empty(), value,
					CALL_LIMIT, new TokenStream(TokenSink.NONE)));
			value = result.output()
				.orElseThrow(() -> new StandInException("direct call failed: " + result.detail(), null));
		}
		return System.nanoTime() - start;
	}

}
