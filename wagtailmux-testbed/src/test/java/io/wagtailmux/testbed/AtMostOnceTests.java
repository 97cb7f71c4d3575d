package io.wagtailmux.testbed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.wagtailmux.decision.DispatchPolicy;
import io.wagtailmux.testbed.deployment.CallerAnswer;
import io.wagtailmux.testbed.deployment.CallerClient;
import io.wagtailmux.testbed.deployment.ClientRequest;
import io.wagtailmux.testbed.deployment.ExampleConfiguration;
import io.wagtailmux.testbed.deployment.LocalDeployment;
import io.wagtailmux.testbed.standin.EndpointFault;
import io.wagtailmux.testbed.standin.PlatformMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests with idempotency keys are executed at most once, also when endpoints or the
 * store fail, over three instances.
 */
class AtMostOnceTests {

	private static final ClientRequest RENEWAL = ClientRequest.of("renewal", "token-perth-listeners", "renew me");

	private final CallerClient client = new CallerClient();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private LocalDeployment deployment;

	@BeforeEach
	void start() {
		this.deployment = new LocalDeployment(ExampleConfiguration.PEMBERTON.text(), 3, DispatchPolicy.STANDARD);
	}

	@AfterEach
	void stop() {
		this.threads.shutdownNow();
		this.deployment.close();
	}

	@Test
	void fiveAtOnceOverDifferentEntriesHaveOneExecution() {
		List<CompletableFuture<CallerAnswer>> futures = new ArrayList<>();
		for (int number = 0; number < 5; number++) {
			int instance = number % 3;
			futures.add(CompletableFuture.supplyAsync(() -> send(instance, RENEWAL.withKey("k")), this.threads));
		}
		List<CallerAnswer> answers = futures.stream().map(CompletableFuture::join).toList();
		assertThat(answers).filteredOn(CallerAnswer::answered).isNotEmpty();
		assertThat(answers).filteredOn((answer) -> !answer.answered())
			.allMatch((answer) -> answer.code().equals("key-unresolved") && answer.execution().equals("unknown"));
		CallerAnswer first = answers.stream().filter(CallerAnswer::answered).findFirst().orElseThrow();
		CallerAnswer replay = send(2, RENEWAL.withKey("k"));
		assertThat(replay.body().get("output")).isEqualTo(first.body().get("output"));
		assertThat(executedCalls()).isEqualTo(1);
	}

	@Test
	void aKeyWithAnotherBodyOrPipelineIsRefused() {
		assertThat(send(0, RENEWAL.withKey("k")).answered()).isTrue();
		ClientRequest other = ClientRequest.of("renewal", RENEWAL.token(), "renew another");
		CallerAnswer answer = send(1, other.withKey("k"));
		assertThat(answer.status()).isEqualTo(422);
		assertThat(answer.execution()).isEqualTo("not-run");
		assertThat(executedCalls()).isEqualTo(1);
	}

	@Test
	void keysOfDifferentOrganisationsAreDifferent() {
		ClientRequest other = ClientRequest.of("renewal", "token-home-visitors", "renew me");
		assertThat(send(0, RENEWAL.withKey("k")).answered()).isTrue();
		assertThat(send(0, other.withKey("k")).answered()).isTrue();
		assertThat(executedCalls()).isEqualTo(2);
	}

	@Test
	void keyedRequestsAreRefusedAsNotRunAndOthersAreServedWhileTheStoreIsDown() {
		assertThat(send(0, RENEWAL).answered()).isTrue();
		this.deployment.platform().setMode(PlatformMode.DOWN);
		CallerAnswer refused = send(0, RENEWAL.withKey("k"));
		assertThat(refused.code()).isEqualTo("platform-unavailable");
		assertThat(refused.execution()).isEqualTo("not-run");
		assertThat(refused.body().has("retryAfterMs")).isTrue();
		assertThat(executedCalls()).isEqualTo(1);
		assertThat(send(0, RENEWAL).answered()).isTrue();
		this.deployment.platform().setMode(PlatformMode.UP);
		assertThat(isEventuallyAnswered("k")).isTrue();
		assertThat(executedCalls()).isEqualTo(3);
	}

	@Test
	void aLostResponseOfTheStoreCausesNoSecondExecution() {
		this.deployment.platform().setMode(PlatformMode.LOSES_ANSWERS);
		CallerAnswer first = send(0, RENEWAL.withKey("k"));
		assertThat(first.execution()).as(first.toString()).isEqualTo("not-run");
		assertThat(executedCalls()).isZero();
		this.deployment.platform().setMode(PlatformMode.UP);
		assertThat(isEventuallyAnswered("k")).isTrue();
		assertThat(send(1, RENEWAL.withKey("k")).answered()).isTrue();
		assertThat(executedCalls()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource(value = EndpointFault.class, names = { "FAIL_AFTER_RUN", "BREAK_MID_ANSWER", "CROSS_ANSWER" })
	void anUnknownOutcomeStaysUnknown(EndpointFault fault) {
		this.deployment.endpoints().pool("subscriber-desk").get(0).inject(fault);
		CallerAnswer first = send(0, RENEWAL.withKey("k"));
		assertThat(first.execution()).isEqualTo("unknown");
		for (int instance = 0; instance < 3; instance++) {
			assertThat(send(instance, RENEWAL.withKey("k")).code()).isEqualTo("key-unresolved");
		}
		assertThat(executedCalls()).isEqualTo(1);
	}

	private boolean isEventuallyAnswered(String key) {
		long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
		while (System.nanoTime() < end) {
			if (send(1, RENEWAL.withKey(key)).answered()) {
				return true;
			}
		}
		return false;
	}

	private CallerAnswer send(int instance, ClientRequest request) {
		return this.client.send(this.deployment.callerAddresses().get(instance), request);
	}

	private long executedCalls() {
		return this.deployment.endpoints()
			.pool("subscriber-desk")
			.stream()
			.mapToLong((desk) -> desk.counts().runCalls().size())
			.sum();
	}

}
