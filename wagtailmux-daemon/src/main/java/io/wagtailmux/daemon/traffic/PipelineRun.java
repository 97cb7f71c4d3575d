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
 * One request on its way through the stages.
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
	 * @return the output of the last one
	 */
	JsonElement run() {
		refuseIfHopeless();
		List<Stage> stages = this.request.pipeline().stages();
		stages.stream().skip(1).forEach((stage) -> gateOf(stage).announce(this.request.organisation().id()));
		int begun = 1;
		try {
			JsonElement value = runStage(0, this.request.input());
			while (begun < stages.size()) {
				gateOf(stages.get(begun)).arrive(this.request.organisation().id());
				begun++;
				value = runStage(begun - 1, value);
			}
			return value;
		}
		finally {
			stages.stream().skip(begun).forEach((stage) -> gateOf(stage).arrive(this.request.organisation().id()));
		}
	}

	/**
	 * Refuses a request that cannot be served by its deadline before any stage is spent
	 * on it.
	 */
	private void refuseIfHopeless() {
		Duration needed = Duration.ZERO;
		List<Stage> stages = this.request.pipeline().stages();
		for (int index = 0; index < stages.size(); index++) {
			needed = needed.plus(gateOf(stages.get(index)).expectedTime(ticket(index, 1, Set.of())));
		}
		Duration left = this.request.deadline().minus(this.runner.time().elapsed());
		if (gateOf(stages.get(0)).deadlineAware() && needed.compareTo(left) > 0) {
			throw RequestException.notRun(ProblemCode.DEADLINE_UNREACHABLE, RETRY_AFTER,
					"the stages are expected to take " + needed.toMillis() + " ms, left are " + left.toMillis()
							+ " ms");
		}
	}

	private JsonElement runStage(int index, JsonElement input) {
		Stage stage = this.request.pipeline().stages().get(index);
		Pool pool = poolOf(stage);
		PoolGate gate = gateOf(stage);
		boolean last = index == this.request.pipeline().stages().size() - 1;
		TokenStream stream = new TokenStream(last ? this.request.sink() : TokenSink.NONE);
		Set<EndpointId> avoided = new HashSet<>();
		gate.firstAttempt();
		for (int attempt = 1;; attempt++) {
			Assignment assignment = acquire(gate, ticket(index, attempt, avoided));
			CallResult result = call(assignment, pool, gate, input, stream);
			takeNote(result, pool);
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
			Duration waited = this.runner.time().elapsed().minus(start);
			this.runner.metrics().waited(assignment.endpoint().pool(), waited);
			this.runner.log().assigned(assignment, waited);
			return assignment;
		}
		catch (RefusedException ex) {
			this.runner.log().refused(ticket, ex.refusal());
			boolean late = ex.refusal().reason() == RefusalReason.DEADLINE_UNREACHABLE;
			throw new RequestException(late ? ProblemCode.DEADLINE_UNREACHABLE : ProblemCode.REFUSED, this.execution,
					Optional.of(ex.refusal().retryAfter()), ticket.call() + ": " + ex.refusal().detail());
		}
	}

	private CallResult call(Assignment assignment, Pool pool, PoolGate gate, JsonElement input, TokenStream stream) {
		Ticket ticket = assignment.ticket();
		Duration left = ticket.deadline().minus(this.runner.time().elapsed());
		Duration longest = this.view.accepted().configuration().longestPipelineTimeout();
		Duration part = StageDeadline.attemptTimeout(left, gate.expectedServiceTime(), ticket.timeAfterStage());
		Duration limit = (part.compareTo(longest) < 0) ? part : longest;
		StageCall call = new StageCall(ticket.call(), assignment.endpoint(), pool.protocol(), assignment.boot(), input,
				limit, stream);
		CallResult result = this.runner.client().call(call);
		gate.finished(
				new CallReport(assignment.endpoint().id(), result.outcome(), result.duration(), result.reportedLoad()));
		this.runner.facts().callEnded(assignment, result);
		this.runner.metrics().called(pool.id(), result.outcome(), result.duration());
		return result;
	}

	private void takeNote(CallResult result, Pool pool) {
		if (result.outcome().provenNotRun() || this.execution == Execution.RAN) {
			return;
		}
		boolean ran = result.outcome().successful() && !pool.idempotent();
		this.execution = ran ? Execution.RAN : Execution.UNKNOWN;
	}

	private void requireRetry(Assignment assignment, CallResult result, Pool pool, PoolGate gate) {
		Ticket ticket = assignment.ticket();
		Duration left = ticket.latestEnd().minus(this.runner.time().elapsed());
		RetryVerdict verdict = (result.outcome() == CallOutcome.ABANDONED) ? RetryVerdict.NOT_REPEATABLE
				: gate.decideRetry(result.outcome(), pool.idempotent(), ticket.call().attempt(), left);
		this.runner.log().failed(assignment, result, verdict);
		if (!verdict.isRetry()) {
			throw giveUp(assignment, result, verdict);
		}
		this.runner.metrics().retried(pool.id());
	}

	private RequestException giveUp(Assignment assignment, CallResult result, RetryVerdict verdict) {
		boolean late = verdict == RetryVerdict.TOO_LATE || result.outcome() == CallOutcome.TIMED_OUT;
		return new RequestException(late ? ProblemCode.DEADLINE_EXCEEDED : ProblemCode.STAGE_FAILED, this.execution,
				Optional.of(RETRY_AFTER), assignment.ticket().call() + " at " + assignment.endpoint().id() + ": "
						+ result.outcome() + ", " + result.detail() + ", " + verdict);
	}

	private Ticket ticket(int index, int attempt, Set<EndpointId> avoided) {
		Stage stage = this.request.pipeline().stages().get(index);
		return new Ticket(new CallId(this.request.id(), stage.name(), attempt), this.request.organisation(),
				stage.selector(), avoided, this.request.deadline(), timeAfter(index));
	}

	private Duration timeAfter(int index) {
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
