package io.wagtailmux.engine.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.wagtailmux.decision.admission.ChainPlan;
import io.wagtailmux.decision.admission.ChainStep;
import io.wagtailmux.decision.admission.ExpectedWait;
import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.decision.ownership.DutyCandidate;
import io.wagtailmux.decision.ownership.InstanceCapacity;
import io.wagtailmux.decision.stage.PieceUrgency;
import io.wagtailmux.engine.EngineContext;
import io.wagtailmux.engine.EngineMetrics;
import io.wagtailmux.engine.http.HttpClient;
import io.wagtailmux.engine.port.CallerRequest;
import io.wagtailmux.engine.port.PieceOutcome;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.state.ServingState;
import io.wagtailmux.engine.state.SharedLimits;
import io.wagtailmux.engine.thread.TrafficLoop;
import io.wagtailmux.engine.thread.UnexpectedErrors;
import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.InstanceId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.model.TimeSource;
import io.wagtailmux.model.serving.Generation;
import io.wagtailmux.model.serving.RequestKind;
import io.wagtailmux.model.serving.Route;
import io.wagtailmux.model.serving.RouteStage;
import io.wagtailmux.model.serving.RouteTiming;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that is refused for the queue of its stages although work was
 * done for it, in the worst case within its stream.
 */
class StageRunTests {

	private static final PoolId POOL = new PoolId("stage");

	private static final Duration TARGET = Duration.ofSeconds(2);

	private static final Duration DEADLINE = Duration.ofSeconds(6);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final List<PieceGroup> submitted = new ArrayList<>();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void onlyTheFirstStageOfTheFirstRunMayBeRefusedForItsWait(boolean again) {
		EngineContext context = context();
		Duration now = context.time().elapsed();
		new StageRun(context, route(), request(), 1, plan(), now.plus(TARGET), now.plus(DEADLINE), again,
				Optional.empty(), "suspect", (failure) -> {
				})
			.start();
		assertThat(this.submitted).extracting((piece) -> piece.longestWait().isPresent())
			.containsExactly(!again, false);
	}

	private EngineContext context() {
		TimeSource time = TimeSource.system();
		TrafficLoop loop = new TrafficLoop(this.group.next(), new UnexpectedErrors(new Counter()));
		ServingState state = new ServingState(
				new DutyCandidate(new InstanceId("instance"), new InstanceCapacity(1, 1000)),
				new SharedLimits(0.2, Duration.ofSeconds(10), 50, 1.5, 5, 0.1, 50), time, (pool) -> null);
		EngineContext context = new EngineContext(new HttpClient(loop, time), time, state, null, null,
				new AvailabilityZoneId("zone"), new SplittableRandom(1), new EngineMetrics(new MetricRegistry()));
		context.pieces(new ImmediatePieces());
		return context;
	}

	private static Route route() {
		List<RouteStage> stages = List.of(new RouteStage(POOL, List.of(), 1000),
				new RouteStage(POOL, List.of(0), 1000));
		return new Route("staged", "pipelines.example", "/staged/", RequestKind.STREAMING,
				new RouteTiming(DEADLINE, TARGET, TARGET), 1, List.of(), 2, stages, true, true);
	}

	private static CallerRequest request() {
		return new CallerRequest(new AttemptId("attempt"), DEADLINE, Optional.empty(), Optional.empty(),
				Generation.NONE, List.of(1, 1), Optional.empty());
	}

	private static ChainPlan plan() {
		ExpectedWait waiting = ExpectedWait.of(Duration.ofMillis(100));
		return new ChainPlan(List.of(new ChainStep(List.of(), waiting, Duration.ofMillis(300)),
				new ChainStep(List.of(0), waiting, Duration.ofMillis(300))), Duration.ofMillis(150));
	}

	/**
	 * Has the result of each piece at once.
	 */
	private final class ImmediatePieces implements PieceService {

		@Override
		public Runnable submit(PoolId pool, PieceGroup group, Consumer<PieceGroupResult> done) {
			StageRunTests.this.submitted.add(group);
			ResultHandle handle = new ResultHandle("127.0.0.1:1/" + group.stage());
			done.accept(new PieceGroupResult(Map.of(0, PieceOutcome.succeeded(handle)), WaitReport.NONE));
			return () -> {
			};
		}

		@Override
		public void free(PoolId pool, List<ResultHandle> handles) {
		}

		@Override
		public void offer(PoolId pool, List<ResultHandle> handles) {
		}

		@Override
		public ExpectedWait expectedWait(PoolId pool, PieceUrgency urgency) {
			return ExpectedWait.NONE;
		}

	}

}
