package io.wagtailmux.daemon.endpoint;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import com.google.gson.JsonObject;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.Endpoint;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.Labels;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.RequestId;
import io.wagtailmux.model.StageName;
import io.wagtailmux.model.StageProtocol;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.VersionId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Calls to an endpoint that answers the first one twice, the second time not completely.
 */
class SecondResponseTests {

	private static final String REFUSAL = """
			HTTP/1.1 503 Service Unavailable\r
			Wagtailmux-Execution: not-run\r
			Wagtailmux-Call-Id: request-1/edit/1\r
			Content-Length: 0\r
			\r
			""";

	static IntStream everyLength() {
		return IntStream.rangeClosed(0, REFUSAL.length());
	}

	// The part of a refusal that stays in the buffer becomes the head of the next
	// response.
	@ParameterizedTest
	@MethodSource("everyLength")
	void aPartOfARefusalIsNotTakenForTheResponseToTheNextCall(int length) throws Exception {
		try (RawEndpoint endpoint = new RawEndpoint(REFUSAL.substring(0, length));
				EndpointClient client = new EndpointClient(TimeSource.system())) {
			assertThat(call(client, endpoint, 1).outcome()).isEqualTo(CallOutcome.ANSWERED);
			CallResult second = call(client, endpoint, 2);
			assertThat(second.outcome()).as(second.detail())
				.isIn(CallOutcome.ANSWERED, CallOutcome.BROKEN, CallOutcome.CROSSED);
			second.output().ifPresent((output) -> assertThat(made(output.getAsJsonObject())).isEqualTo(id(2)));
		}
	}

	// A connection with a response too many answers each call with the response to the
	// one before.
	@ParameterizedTest
	@MethodSource("everyLength")
	void noCallAfterTheNextOneIsAffected(int length) throws Exception {
		try (RawEndpoint endpoint = new RawEndpoint(REFUSAL.substring(0, length));
				EndpointClient client = new EndpointClient(TimeSource.system())) {
			call(client, endpoint, 1);
			call(client, endpoint, 2);
			CallResult third = call(client, endpoint, 3);
			assertThat(third.outcome()).as(third.detail()).isEqualTo(CallOutcome.ANSWERED);
			assertThat(made(third.output().orElseThrow().getAsJsonObject())).isEqualTo(id(3));
		}
	}

	// The text of a header that may be confidential is replaced when all are printed.
	@ParameterizedTest
	@ValueSource(strings = { "Cookie", "Set-Cookie", "Authorization", "X-Other" })
	void aPartOfARefusalThatEndsInAnyHeaderIsNotTakenForTheResponse(String header) throws Exception {
		String part = REFUSAL.substring(0, REFUSAL.indexOf("Content-Length")) + header + ": a";
		try (RawEndpoint endpoint = new RawEndpoint(
				part.replace("Wagtailmux-Call-Id: request-1/edit/1\r\n", "X-Nothing: x\r\n"));
				EndpointClient client = new EndpointClient(TimeSource.system())) {
			call(client, endpoint, 1);
			CallResult second = call(client, endpoint, 2);
			assertThat(second.outcome()).as(second.detail())
				.isIn(CallOutcome.ANSWERED, CallOutcome.BROKEN, CallOutcome.CROSSED);
		}
	}

	private static CallResult call(EndpointClient client, RawEndpoint endpoint, int number) {
		Endpoint called = new Endpoint(new EndpointId("desk-1"), new PoolId("desk"), new AvailabilityZoneId("perth-a"),
				new VersionId("v1"), endpoint.address(), new Labels(Map.of()), false);
		CallId id = new CallId(new RequestId("request-" + number), new StageName("edit"), 1);
		return client.call(new StageCall(id, called, StageProtocol.SERVICE, Optional.empty(), new JsonObject(),
				Duration.ofSeconds(2), new TokenStream(TokenSink.NONE)));
	}

	private static String id(int number) {
		return "request-" + number + "/edit/1";
	}

	private static String made(JsonObject output) {
		return output.get("made").getAsString();
	}

}
