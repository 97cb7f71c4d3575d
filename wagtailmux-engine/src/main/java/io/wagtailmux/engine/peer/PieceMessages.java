package io.wagtailmux.engine.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.wagtailmux.decision.admission.WaitReport;
import io.wagtailmux.decision.ownership.PoolShard;
import io.wagtailmux.engine.port.PieceFailure;
import io.wagtailmux.engine.port.PieceOutcome;
import io.wagtailmux.engine.port.ProtocolErrorCode;
import io.wagtailmux.engine.port.ProtocolException;
import io.wagtailmux.engine.port.ResultHandle;
import io.wagtailmux.engine.stage.PieceGroup;
import io.wagtailmux.engine.stage.PieceGroupResult;
import io.wagtailmux.model.AttemptId;
import io.wagtailmux.model.AvailabilityZoneId;
import io.wagtailmux.model.PoolId;
import io.wagtailmux.peer.wire.PieceGroupMessage;
import io.wagtailmux.peer.wire.PieceGroupResultMessage;
import io.wagtailmux.peer.wire.PieceOutcomeMessage;

/**
 * Converts groups of pieces and their results to messages between instances and back.
 *
 * @author the wagtailmux developers
 */
final class PieceMessages {

	private static final long NANOSECONDS_PER_MICROSECOND = 1000;

	private PieceMessages() {
	}

	static PieceGroupMessage message(PoolShard shard, PieceGroup group) {
		PieceGroupMessage message = new PieceGroupMessage(shard.pool().value(), group.attempt().value(), group.stage(),
				group.pieces(), group.inputs().stream().map(ResultHandle::value).toList(), group.priority(),
				group.remaining().toNanos() / NANOSECONDS_PER_MICROSECOND,
				group.slack().toNanos() / NANOSECONDS_PER_MICROSECOND, group.resultBytes());
		message.setShard(shard.index());
		group.longestWait()
			.ifPresent(
					(longest) -> message.setLongestWaitMicroseconds(longest.toNanos() / NANOSECONDS_PER_MICROSECOND));
		group.key().ifPresent(message::setKey);
		group.releasableInputPool().ifPresent((inputPool) -> message.setInputsFreedAt(inputPool.value()));
		group.suspect().ifPresent(message::setSuspect);
		group.home().ifPresent((home) -> message.setHomeZone(home.value()));
		return message;
	}

	/**
	 * Returns the shard that a group was sent to.
	 * @param message the group
	 * @return the shard; the first one of the pool if the message names none
	 */
	static PoolShard shard(PieceGroupMessage message) {
		return new PoolShard(new PoolId(message.getPool()), message.getShard());
	}

	static PieceGroup group(PieceGroupMessage message) {
		return new PieceGroup(new AttemptId(message.getAttempt()), message.getStage(), message.getPieces(),
				Optional.ofNullable(message.getKey()), message.getInputs().stream().map(ResultHandle::new).toList(),
				message.getPriority(), duration(message.getLeftMicroseconds()),
				duration(message.getSpareMicroseconds()),
				message.isSetLongestWaitMicroseconds() ? Optional.of(duration(message.getLongestWaitMicroseconds()))
						: Optional.empty(),
				message.getResultBytes(), Optional.ofNullable(message.getHomeZone()).map(AvailabilityZoneId::new),
				Optional.ofNullable(message.getInputsFreedAt()).map(PoolId::new),
				Optional.ofNullable(message.getSuspect()));
	}

	static PieceGroupResultMessage result(PieceGroupResult result) {
		List<PieceOutcomeMessage> outcomes = new ArrayList<>();
		result.outcomes().forEach((piece, outcome) -> {
			PieceOutcomeMessage pieceMessage = new PieceOutcomeMessage(piece);
			outcome.handle().ifPresent((handle) -> pieceMessage.setHandle(handle.value()));
			outcome.failure().ifPresent((failure) -> pieceMessage.setFailure(failure.name()));
			outcomes.add(pieceMessage);
		});
		PieceGroupResultMessage message = new PieceGroupResultMessage(outcomes,
				result.waits().behindAll().toNanos() / NANOSECONDS_PER_MICROSECOND);
		result.waits()
			.behindEarlier()
			.ifPresent(
					(wait) -> message.setWaitBehindEarlierMicroseconds(wait.toNanos() / NANOSECONDS_PER_MICROSECOND));
		return message;
	}

	static PieceGroupResult result(PieceGroupResultMessage message) {
		Map<Integer, PieceOutcome> outcomes = new HashMap<>();
		for (PieceOutcomeMessage outcome : message.getOutcomes()) {
			outcomes.put(outcome.getPiece(), outcome(outcome));
		}
		Optional<Duration> behindEarlier = message.isSetWaitBehindEarlierMicroseconds()
				? Optional.of(duration(message.getWaitBehindEarlierMicroseconds())) : Optional.empty();
		return new PieceGroupResult(outcomes,
				new WaitReport(duration(message.getExpectedWaitMicroseconds()), behindEarlier));
	}

	private static Duration duration(long microseconds) {
		return Duration.ofNanos(microseconds * NANOSECONDS_PER_MICROSECOND);
	}

	private static PieceOutcome outcome(PieceOutcomeMessage message) {
		if (message.isSetHandle()) {
			return PieceOutcome.succeeded(new ResultHandle(message.getHandle()));
		}
		try {
			return PieceOutcome.failed(PieceFailure.valueOf(message.getFailure()));
		}
		catch (IllegalArgumentException | NullPointerException ex) {
			throw new ProtocolException(ProtocolErrorCode.MALFORMED_BODY,
					"unknown piece failure '" + message.getFailure() + "'");
		}
	}

}
