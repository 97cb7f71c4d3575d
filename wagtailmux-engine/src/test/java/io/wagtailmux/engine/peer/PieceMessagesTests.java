package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.wagtailmux.decision.admission.ExpectedWait;
import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.PieceOutcome;
import io.wagtailmux.engine.stage.PieceGroup;
import io.wagtailmux.engine.stage.PieceGroupResult;
import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.PieceGroupMessage;
import io.wagtailmux.peer.wire.PieceGroupResultMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against instances of two versions that misunderstand each other while one is
 * replaced by the other.
 */
class PieceMessagesTests {

	private static final PoolShard SHARD = new PoolShard(new PoolId("stage"), 0);

	@Test
	void theLongestWaitAndTheWaitsArriveAsTheyWereSent() {
		PieceGroup group = group(Optional.of(Duration.ofMillis(750)));
		assertThat(PieceMessages.group(PieceMessages.message(SHARD, group))).isEqualTo(group);
		WaitReport waits = new WaitReport(Duration.ofMillis(900), Optional.of(Duration.ofMillis(300)));
		PieceGroupResult result = new PieceGroupResult(Map.of(0, PieceOutcome.failed(PieceFailure.CROWDED)), waits);
		assertThat(PieceMessages.result(PieceMessages.result(result))).isEqualTo(result);
	}

	@Test
	void aGroupOfAnEarlierVersionIsAcceptedHoweverLongItWaits() {
		PieceGroupMessage earlier = PieceMessages.message(SHARD, group(Optional.of(Duration.ofMillis(750))));
		earlier.unsetLongestWaitMicroseconds();
		assertThat(PieceMessages.group(earlier).longestWait()).isEmpty();
	}

	@Test
	void theWaitThatAnOwnerOfAnEarlierVersionReportsMakesNoRequestMissItsTarget() {
		WaitReport waits = new WaitReport(Duration.ofMillis(900), Optional.of(Duration.ofMillis(300)));
		PieceGroupResultMessage earlier = PieceMessages.result(new PieceGroupResult(Map.of(), waits));
		earlier.unsetWaitBehindEarlierMicroseconds();
		assertThat(PieceMessages.result(earlier).waits().expected())
			.isEqualTo(new ExpectedWait(Duration.ofMillis(900), Duration.ZERO));
	}

	private static PieceGroup group(Optional<Duration> longestWait) {
		return new PieceGroup(new AttemptId("attempt"), 0, List.of(0, 1), Optional.of("key"), List.of(), 1,
				Duration.ofSeconds(3), Duration.ofSeconds(1), longestWait, 1000, Optional.empty(), Optional.empty(),
				Optional.empty());
	}

}
