package io.wagtailmux.daemon.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.gson.JsonElement;

import io.wagtailmux.daemon.endpoint.CallResult;
import io.wagtailmux.daemon.endpoint.StageCall;
import io.wagtailmux.daemon.endpoint.TokenSink;
import io.wagtailmux.daemon.endpoint.TokenStream;
import io.wagtailmux.decision.Assignment;
import io.wagtailmux.decision.CallOutcome;
import io.wagtailmux.decision.CallReport;
import io.wagtailmux.decision.RefusalReason;
import io.wagtailmux.decision.Ticket;
import io.wagtailmux.decision.estimate.StageDeadline;
import io.wagtailmux.decision.retry.RetryVerdict;
import io.wagtailmux.model.CallId;
import io.wagtailmux.model.EndpointId;
import io.wagtailmux.model.Pool;
import io.wagtailmux.model.Stage;

/**
 * Runs one request through the stages of its pipeline, on the thread of the request.
 *
 * @author the wagtailmux developers
 */
final class PipelineRun {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final PipelineRequest request;

	private final TrafficView view;

	private final PipelineRunner runner;

	private Execution execution = Execution.NOT_RUN;

	PipelineRun(PipelineRequest request, TrafficView view, PipelineRunner runner) {
		this.request = request;
		this.view = view;
		this.runner = runner;
	}

	/**
	 * Runs all stages.
	 * @return the output of the last stage
	 * @throws RequestException if the request is refused or fails
	 */
	JsonElement run() {
		refuseIfDeadlineUnreachable();
		List<Stage> stages = this.request.pipeline().stages();
		stages.stream().skip(1).forEach((stage) -> gateOf(stage).addExpected(this.request.organisation().id()));
		int startedStages = 1;
		try {
			JsonElement value = runStage(0, this.request.input());
			while (startedStages < stages.size()) {
				gateOf(stages.get(startedStages)).removeExpected(this.request.organisation().id());
				startedStages++;
				value = runStage(startedStages - 1, value);
			}
			return value;
		}
		finally {
			stages.stream()
				.skip(startedStages)
				.forEach((stage) -> gateOf(stage).removeExpected(this.request.organisation().id()));
		}
	}

	/**
	 * Refuses a request that is not expected to meet its deadline, before any stage runs.
	 */
	private void refuseIfDeadlineUnreachable() {
		Duration expectedTime = Duration.ZERO;
		List<Stage> stages = this.request.pipeline().stages();
		for (int index = 0; index < stages.size(); index++) {
			expectedTime = expectedTime.plus(gateOf(stages.get(index)).expectedTime(ticket(index, 1, Set.of())));
		}
		Duration remaining = this.request.deadline().minus(this.runner.time().elapsed());
		if (gateOf(stages.get(0)).deadlineAware() && expectedTime.compareTo(remaining) > 0) {
			throw RequestException.notRun(ProblemCode.DEADLINE_UNREACHABLE, RETRY_AFTER,
					"the stages are expected to take " + expectedTime.toMillis()
							+ " ms, the time until the deadline is " + remaining.toMillis() + " ms");
		}
	}

	private JsonElement runStage(int index, JsonElement input) {
		Stage stage = this.request.pipeline().stages().get(index);
		Pool pool = poolOf(stage);
		PoolGate gate = gateOf(stage);
		boolean isLastStage = index == this.request.pipeline().stages().size() - 1;
		TokenStream stream = new TokenStream(isLastStage ? this.request.sink() : TokenSink.NONE);
		Set<EndpointId> avoided = new HashSet<>();
		gate.recordFirstAttempt();
		for (int attempt = 1;; attempt++) {
			Assignment assignment = acquire(gate, ticket(index, attempt, avoided));
			CallResult result = call(assignment, pool, gate, input, stream);
			updateExecution(result, pool);
			if (result.outcome().successful()) {
				return result.output().get();
			}
			avoided.add(assignment.endpoint().id());
			requireRetry(assignment, result, pool, gate);
		}
	}

	private Assignment acquire(PoolGate gate, Ticket ticket) {
		Duration start = this.runner.time().elapsed();
		try {
			Assignment assignment = gate.acquire(ticket);
			Duration waitingTime = this.runner.time().elapsed().minus(start);
			this.runner.metrics().recordWait(assignment.endpoint().pool(), waitingTime);
			this.runner.log().logAssignment(assignment, waitingTime);
			return assignment;
		}
		catch (RefusedException ex) {
			this.runner.log().logRefusal(ticket, ex.refusal());
			boolean deadlineUnreachable = ex.refusal().reason() == RefusalReason.DEADLINE_UNREACHABLE;
			throw new RequestException(deadlineUnreachable ? ProblemCode.DEADLINE_UNREACHABLE : ProblemCode.REFUSED,
					this.execution, Optional.of(ex.refusal().retryAfter()),
					ticket.call() + ": " + ex.refusal().detail());
		}
	}

	private CallResult call(Assignment assignment, Pool pool, PoolGate gate, JsonElement input, TokenStream stream) {
		Ticket ticket = assignment.ticket();
		Duration remaining = ticket.deadline().minus(this.runner.time().elapsed());
		// A request may have a longer timeout than its pipeline, but limiters assume that
		// no call is in flight for longer than the longest timeout of any pipeline.
		Duration longestTimeout = this.view.accepted().configuration().longestPipelineTimeout();
		Duration attemptTimeout = StageDeadline.attemptTimeout(remaining, gate.expectedServiceTime(),
				ticket.timeAfterStage());
		Duration timeout = (attemptTimeout.compareTo(longestTimeout) < 0) ? attemptTimeout : longestTimeout;
		StageCall call = new StageCall(ticket.call(), assignment.endpoint(), pool.protocol(), assignment.boot(), input,
				timeout, stream);
		CallResult result = this.runner.client().call(call);
		gate.recordOutcome(
				new CallReport(assignment.endpoint().id(), result.outcome(), result.duration(), result.reportedLoad()));
		this.runner.callListener().onCallEnded(assignment, result);
		this.runner.metrics().recordCall(pool.id(), result.outcome(), result.duration());
		return result;
	}

	private void updateExecution(CallResult result, Pool pool) {
		if (result.outcome().provenNotRun() || this.execution == Execution.RAN) {
			return;
		}
		boolean ran = result.outcome().successful() && !pool.idempotent();
		this.execution = ran ? Execution.RAN : Execution.UNKNOWN;
	}

	private void requireRetry(Assignment assignment, CallResult result, Pool pool, PoolGate gate) {
		Ticket ticket = assignment.ticket();
		Duration remaining = ticket.latestEnd().minus(this.runner.time().elapsed());
		// An abandoned call ended because the caller no longer accepts tokens.
		RetryVerdict verdict = (result.outcome() == CallOutcome.ABANDONED) ? RetryVerdict.NOT_REPEATABLE
				: gate.decideRetry(result.outcome(), pool.idempotent(), ticket.call().attempt(), remaining);
		this.runner.log().logFailure(assignment, result, verdict);
		if (!verdict.isRetry()) {
			throw failureOf(assignment, result, verdict);
		}
		this.runner.metrics().recordRetry(pool.id());
	}

	private RequestException failureOf(Assignment assignment, CallResult result, RetryVerdict verdict) {
		boolean deadlineMissed = verdict == RetryVerdict.TOO_LATE || result.outcome() == CallOutcome.TIMED_OUT;
		return new RequestException(deadlineMissed ? ProblemCode.DEADLINE_EXCEEDED : ProblemCode.STAGE_FAILED,
				this.execution, Optional.of(RETRY_AFTER),
				assignment.ticket().call() + " at " + assignment.endpoint().id() + ": " + result.outcome() + ", "
						+ result.detail() + ", " + verdict);
	}

	private Ticket ticket(int index, int attempt, Set<EndpointId> avoided) {
		Stage stage = this.request.pipeline().stages().get(index);
		return new Ticket(new CallId(this.request.id(), stage.name(), attempt), this.request.organisation(),
				stage.selector(), avoided, this.request.deadline(), expectedTimeAfter(index));
	}

	private Duration expectedTimeAfter(int index) {
		return this.request.pipeline()
			.stages()
			.stream()
			.skip(index + 1L)
			.map((stage) -> gateOf(stage).expectedServiceTime())
			.reduce(Duration.ZERO, Duration::plus);
	}

	private PoolGate gateOf(Stage stage) {
		return this.view.gates().get(stage.pool());
	}

	private Pool poolOf(Stage stage) {
		return this.view.accepted().configuration().pools().get(stage.pool());
	}

}
