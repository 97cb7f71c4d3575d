package io.wagtailmux.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.Test;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.standin.EndpointCounts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Concurrent callers of a deployment of cold endpoints get their own outputs, and no
 * endpoint is overloaded.
 */
class ManyCallersTests {

	private static final int CALLERS = 300;

	private static final List<String> PIPELINES = List.of("edition", "summary", "listener-question");

	private final CallerClient client = new CallerClient();

	@Test
	void threeHundredAtOnceOnAColdDeploymentEachGetTheirOwnAnswer() {
		ExecutorService threads = Executors.newCachedThreadPool();
		try (LocalDeployment deployment = new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), 3,
				DispatchPolicy.STANDARD)) {
			List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
			for (int number = 0; number < CALLERS; number++) {
				int caller = number;
				answers.add(CompletableFuture.supplyAsync(() -> send(deployment, caller), threads));
			}
			for (int number = 0; number < CALLERS; number++) {
				CallerAnswer answer = answers.get(number).join();
				assertThat(answer.answered()).as(answer.toString()).isTrue();
				assertThat(answer.body().get("output").toString()).contains("caller-" + number + "-");
			}
			assertThat(deployment.endpoints().sum(EndpointCounts::coldOverloads)).isZero();
		}
		finally {
			threads.shutdownNow();
		}
	}

	private CallerAnswer send(LocalDeployment deployment, int caller) {
		ClientRequest request = ClientRequest.of(PIPELINES.get(caller % PIPELINES.size()), "token-perth-listeners",
				"caller-" + caller + "-");
		return this.client.send(deployment.callerAddresses().get(caller % deployment.callerAddresses().size()),
				request);
	}

}
