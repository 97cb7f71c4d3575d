package io.wagtailmux.testbed;

import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.standin.EndpointFault;
import io.wagtailmux.testbed.standin.StandInEndpoint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * For each endpoint fault at each kind of stage, callers get a complete output or an
 * error that states correctly whether the stage was executed.
 */
class WholeAnswerTests {

	private static final String TOKEN = "token-perth-listeners";

	private static LocalDeployment deployment;

	private final CallerClient client = new CallerClient();

	@BeforeAll
	static void start() {
		deployment = new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), 1, DispatchPolicy.STANDARD);
	}

	@AfterAll
	static void stop() {
		deployment.close();
	}

	@ParameterizedTest
	@EnumSource(EndpointFault.class)
	void aBrokenStreamIsResumedWithoutAMissingOrDuplicateToken(EndpointFault fault) {
		deployment.endpoints().pool("reader-voices").get(0).inject(fault);
		CallerAnswer answer = send(ClientRequest.of("summary", TOKEN, "stream " + fault).asStream());
		assertThat(answer.answered()).as(answer.toString()).isTrue();
		assertThat(answer.tokens()).isEqualTo("{\"encoded\":{\"encoded\":\"stream " + fault + "\"}}");
		assertThat(answer.body().get("output").getAsString()).isEqualTo(answer.tokens());
	}

	@ParameterizedTest
	@EnumSource(EndpointFault.class)
	void anIdempotentStageIsRetriedOnAnotherEndpoint(EndpointFault fault) {
		deployment.endpoints().pool("edition-intake").get(0).inject(fault);
		CallerAnswer answer = send(ClientRequest.of("summary", TOKEN, "inference " + fault));
		assertThat(answer.answered()).as(answer.toString()).isTrue();
		assertThat(answer.body().toString()).contains("inference " + fault);
	}

	@ParameterizedTest
	@CsvSource({ "FAIL_AFTER_RUN, 502, unknown, 1", "REFUSE_NOT_RUN, 200, '', 1", "BREAK_BEFORE_RUN, 502, unknown, 0",
			"BREAK_MID_ANSWER, 502, unknown, 1", "CROSS_ANSWER, 502, unknown, 1", "MALFORMED_ANSWER, 502, unknown, 1" })
	void aNonIdempotentStageRunsAtMostOnce(EndpointFault fault, int status, String execution, int runs) {
		deployment.endpoints().pool("subscriber-desk").get(0).inject(fault);
		CallerAnswer answer = send(ClientRequest.of("renewal", TOKEN, "renewal " + fault));
		assertThat(answer.status()).as(answer.toString()).isEqualTo(status);
		assertThat(answer.execution()).isEqualTo(execution);
		assertThat(executionsOf("renewal " + fault)).isEqualTo(runs);
	}

	private CallerAnswer send(ClientRequest request) {
		return this.client.send(deployment.callerAddresses().get(0), request);
	}

	private static long executionsOf(String input) {
		List<StandInEndpoint> desks = deployment.endpoints().pool("subscriber-desk");
		return desks.stream()
			.flatMap((desk) -> desk.counts().executions().entrySet().stream())
			.filter((entry) -> entry.getKey().contains(input))
			.mapToLong((entry) -> entry.getValue().size())
			.sum();
	}

}
